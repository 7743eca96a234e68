//! Faults, as they begin.

use super::*;

impl World<'_> {
    pub(super) fn fault(&mut self, fault: &Fault) {
        let until = self.now + fault.lasts;
        match fault.what {
            What::Cut(who) | What::Mute(who) | What::Deaf(who) | What::Blind(who) => {
                self.cuts.push((fault.what.clone(), self.who(who), until));
            }
            What::Lossy(_) | What::Flicker => self.cuts.push((fault.what.clone(), 0, until)),
            What::Crash(who) => self.crash(self.who(who), until),
            What::DiskFull(who, operations) | What::DiskCut(who, operations) => {
                let (who, dead) = (self.who(who), matches!(fault.what, What::DiskCut(..)));
                let disk = &self.disks[&who];
                disk.fail_at(Some((disk.operations() + operations as usize, dead)));
            }
            What::Stall(who) => drop(self.stalled.insert(self.who(who), until)),
            What::Remove(who) if self.members.len() > 3 => {
                let member = self.who(who);
                self.wanted.push(MemberChange::Remove { member });
            }
            What::Remove(_) => {}
            What::Add if self.members.len() < 6 => self.add(),
            What::Add => {}
            What::Transfer(to) => {
                let to = self.who(to);
                if let Some(node) = self.leader().and_then(|leader| self.nodes.get_mut(&leader)) {
                    node.transfer_leader(to);
                }
            }
            What::Drain(endpoint) => {
                self.rev += 1;
                self.drains.entry(format!("e{endpoint}")).or_insert(self.rev);
            }
            What::Move(proxy, to) => self.proxies[proxy].at = self.who(to),
        }
    }
}
