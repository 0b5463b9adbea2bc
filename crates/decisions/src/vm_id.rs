use super::*;

text_newtype!(
    /// Id of a VM.
    VmId,
    "VM"
);
