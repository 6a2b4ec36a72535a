//! Pages that are checked against the code.
