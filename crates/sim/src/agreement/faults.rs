//! Starts the faults of a script.

use super::*;

impl World<'_> {
    pub(super) fn inject_fault(&mut self, fault: &Fault) {
        let until = self.now + fault.lasts;
        match fault.what {
            FaultKind::Cut(place)
            | FaultKind::Mute(place)
            | FaultKind::Deaf(place)
            | FaultKind::Blind(place) => {
                self.active_faults.push((fault.what.clone(), self.member_at(place), until));
            }
            FaultKind::Lossy(_) | FaultKind::Flicker => {
                self.active_faults.push((fault.what.clone(), 0, until))
            }
            FaultKind::Crash(place) => self.crash(self.member_at(place), until),
            FaultKind::DiskFull(place, operations) | FaultKind::DiskCut(place, operations) => {
                let (member, dead) = (self.member_at(place), matches!(fault.what, FaultKind::DiskCut(..)));
                let disk = &self.disks[&member];
                disk.fail_at(Some((disk.operations() + operations as usize, dead)));
            }
            FaultKind::Stall(place) => drop(self.stalled.insert(self.member_at(place), until)),
            FaultKind::Remove(place) if self.members.len() > 3 => {
                let member = self.member_at(place);
                self.pending_changes.push(MemberChange::Remove { member });
            }
            FaultKind::Remove(_) => {}
            FaultKind::Add if self.members.len() < 6 => self.request_new_member(),
            FaultKind::Add => {}
            FaultKind::Transfer(to) => {
                let to = self.member_at(to);
                if let Some(node) = self.leader().and_then(|leader| self.nodes.get_mut(&leader)) {
                    node.transfer_leader(to);
                }
            }
            FaultKind::Drain(endpoint) => {
                self.rev += 1;
                self.drains.entry(format!("e{endpoint}")).or_insert(self.rev);
            }
            FaultKind::Move(proxy, to) => self.proxies[proxy].at = self.member_at(to),
        }
    }
}
