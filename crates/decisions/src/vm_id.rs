use super::*;

text_newtype!(
    /// Id of a VM of the system.
    VmId,
    "VM"
);
