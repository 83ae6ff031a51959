//! Tests of the configuration: catalogue, conditional changes and spread.

mod configuration {
    mod catalogue;
    mod cost;
    mod file;
    mod in_force;
    mod proposal;
    mod randomised;
    mod settings;
    mod spread;
    mod support;
    mod world;
}
