//! Conversation history of programs, carried by the caller or held.
