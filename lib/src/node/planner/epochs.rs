//! Epochs of groups and fencing tokens of planners.

/// Bits of an epoch below the fencing token: a counter, and the tag of the planner.
pub(super) const EPOCH_COUNTER_BITS: u32 = 20;
/// Bits of an epoch that tell apart planners that work at the same time, whose fencing tokens are close together.
const EPOCH_TAG_BITS: u32 = 6;
/// Distance of two epochs that one planner issues.
const EPOCH_STEP: u64 = 1 << EPOCH_TAG_BITS;
/// Range of the epochs that are issued before the list shows the effect of the first of them.
pub(super) const MAX_PREPARING: u64 = EPOCH_STEP << 10;

/// Fencing tokens by which the one of an epoch may exceed this planner's. Epochs beyond come from another
/// writer, and there may be none that is higher.
pub(super) const MAX_FENCE_LEAD: u64 = GENERATIONS_PER_ERA << 10;
/// Fencing tokens by which those of one era precede those of the next; more than the generations
/// that the store may lose with its last seconds.
const GENERATIONS_PER_ERA: u64 = 1 << 20;

/// Issues the epochs of groups, each of them once.
///
/// One issuer serves the planners of all services of a process, for as long as it runs. It must outlive terms: the
/// list may not show yet which epochs were issued, and an epoch that stood for two member lists would let a
/// group be opened whose members never formed it.
#[derive(Debug, Default)]
pub struct EpochIssuer {
    /// Highest epoch that was seen or issued.
    highest: u64,
}

impl EpochIssuer {
    /// Returns an epoch that is higher than all that were seen or issued.
    ///
    /// A planner that goes on without the store may see the epochs of its successor, and goes beyond them
    /// as well. The lowest bits tell whose an epoch is, so that the successor never issues the same.
    pub fn issue(&mut self, fence: u64) -> u64 {
        let base = self.highest.max(fence << EPOCH_COUNTER_BITS);
        let era = fence / GENERATIONS_PER_ERA;
        let tagged = base / EPOCH_STEP * EPOCH_STEP + (fence ^ era) % EPOCH_STEP;
        self.highest = match tagged > base {
            true => tagged,
            false => tagged + EPOCH_STEP,
        };
        self.highest
    }

    /// Returns the highest epoch that was seen or issued.
    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// Takes an epoch into account that another planner has issued.
    pub fn note(&mut self, epoch: u64) {
        self.highest = self.highest.max(epoch);
    }
}

/// Returns the fencing token of a lease. The store counts the lease's generations, but goes back to
/// an earlier count when it comes back from an older copy, at the start of an era.
pub fn fencing_token(era: u64, generation: u64) -> u64 {
    era * GENERATIONS_PER_ERA + generation
}
