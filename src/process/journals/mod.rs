//! Drives the journals of the partitions that this host owns.
