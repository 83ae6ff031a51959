//! Rate and burst of each customer over all hosts together.
