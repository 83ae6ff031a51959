//! The operators' query and command language and its answers.
