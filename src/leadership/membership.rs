//! Member registration: the record that shows the other controllers that this process is up.

use super::{Leadership, Tag};
use crate::domain::Now;
use crate::store::records::{Member, member_key};
use crate::store::{StoreRequest, Transaction, WatchCache};

impl Leadership {
    /// Requests the member lease, keeps it alive, and registers again if the record disappears while the lease is held,
    /// for example because it was removed with the lease of an earlier process.
    pub(super) fn poll_member_lease(
        &mut self,
        now: Now,
        cache: &WatchCache,
    ) -> Option<(Tag, StoreRequest)> {
        if self.member.is_idle() {
            let due = cache.is_loaded() && self.member.may_retry(now);
            return due.then(|| self.member.request_grant());
        }
        let held = self.member.held()?;
        let registered = cache
            .members
            .get(&self.controller)
            .is_some_and(|member| member.value.incarnation == self.incarnation);
        if cache.is_current_as_of(held.renewed_at) && !registered && !held.keep_alive_pending {
            let registration = self.registration_transaction(held.id, cache);
            return Some(
                self.member
                    .attach_key(held.id, held.last_confirmed, registration),
            );
        }
        self.member.keep_alive(now)
    }

    /// The transaction that writes this process's member record.
    ///
    /// It is conditioned on the version of the record that it replaces. Otherwise a delayed copy of an earlier
    /// process's request, whose lease has not expired yet, would overwrite this process's record.
    pub(super) fn registration_transaction(&self, lease: u64, cache: &WatchCache) -> Transaction {
        let record = Member {
            incarnation: self.incarnation,
            format: self.format,
        };
        let key = member_key(&self.controller);
        let old = cache.members.get(&self.controller);
        Transaction::default()
            .require_version(key.clone(), old.map_or(0, |old| old.version))
            .put_with_lease(key, &record, Some(lease))
    }
}
