//! Tests of the configuration: catalogue, conditional changes and distribution.

mod configuration {
    mod catalogue;
    mod cost;
    mod distribution;
    mod file;
    mod in_force;
    mod proposal;
    mod randomised;
    mod settings;
    mod support;
    mod world;
}
