//! The availability zones to whose backend servers nothing may be sent, as the operator's table has them.
//!
//! Several sources deliver them in any order: reads of the whole table, reads of its changes, and peers that hand on what
//! they know. Later points of the table service take precedence. After the service came back from a copy, rows may be
//! missing until their writer has written them again, so nothing is removed before a read that is settled
//! (`restore.rs`). See `docs/design/evacuation.md`.

use crate::id::{Id, id};

value! {
    /// A point in the history of the table service.
    #[derive(Default)]
    pub struct Point {
        /// The era of the service, plus one; 0 if it has none.
        pub era: u64,
        /// The revision in this era.
        pub revision: u64,
    }
}

record! {
    /// What a row of the operator's table says about a zone.
    pub enum RowState {
        /// The zone is evacuated.
        Evacuated,
        /// The row was removed, or has no value.
        Removed,
        /// The row is malformed, for this reason. It has no effect.
        Invalid(String),
    }

    /// A row of the operator's table about a zone.
    pub struct ZoneRow {
        /// The name of the zone.
        pub zone: String,
        /// The revision of the write or the removal.
        pub revision: u64,
        /// What the row says.
        pub state: RowState,
    }

    /// News about the evacuated zones.
    pub enum Update {
        /// All rows that exist at the point.
        Whole(Vec<ZoneRow>),
        /// The rows that were written or removed up to the point, in order, since a point that was taken before.
        Changes(Vec<ZoneRow>),
        /// The names of all zones that a peer knows at the point.
        Peer(Vec<String>),
    }
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuation {
    /// The latest point up to which news were taken; `None` before the first.
    point: Option<Point>,
    /// Whether the zones are known from a settled read of the current era, so that zones may be removed.
    settled: bool,
    /// The names of the zones, sorted.
    names: Vec<String>,
    /// The identifiers of the zones, sorted.
    zones: Vec<Id>,
}

impl Evacuation {
    /// Whether nothing may be sent to the servers of a zone.
    pub fn contains(&self, zone: Id) -> bool {
        self.zones.binary_search(&zone).is_ok()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The names of the evacuated zones, sorted.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The latest point up to which news were taken; `None` before the first.
    pub fn point(&self) -> Option<Point> {
        self.point
    }

    /// Whether the zones are known from a settled read of the current era.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Takes news. `settled` says that the read behind them shows everything that was written again since the service
    /// came back from a copy; for news of a peer, that its zones come from such a read. Returns whether the set of zones has changed.
    pub fn apply(&mut self, point: Point, settled: bool, update: Update) -> bool {
        let mut known = self.point.unwrap_or(Point { era: point.era, revision: 0 });
        if self.point.is_none() || point.era > known.era {
            // Revisions of different eras do not compare, and rows that were lost may still be written again.
            known = Point { era: point.era, revision: 0 };
            self.settled = false;
        }
        let is_former = point.era < known.era;
        let is_older = point < known;
        let names = match update {
            Update::Whole(_) | Update::Changes(_) if is_former => return false,
            Update::Changes(rows) => self.changed(known.revision, rows),
            // What a read proves at its own revision it still proves there; what a peer merely says does not.
            _ if self.settled && (is_older || !settled && point == known) => return false,
            // Zones that a peer keeps until its reads are settled may have lost their rows.
            Update::Peer(_) if self.settled && !settled => return false,
            // Until reads are settled, later ones may lack a row that older news show: they add zones, and remove none.
            Update::Whole(rows) if is_older => self.added(self.whole(rows)),
            Update::Peer(names) if is_older => self.added(names),
            Update::Whole(rows) => self.replaced(settled, self.whole(rows)),
            Update::Peer(names) => self.replaced(settled, names),
        };
        self.point = Some(known.max(point));
        self.set_names(names)
    }

    /// The zones that a read of all rows shows. A malformed row leaves its zone as it was.
    fn whole(&self, rows: Vec<ZoneRow>) -> Vec<String> {
        let kept = rows.into_iter().filter(|row| match row.state {
            RowState::Evacuated => true,
            RowState::Removed => false,
            RowState::Invalid(_) => self.names.contains(&row.zone),
        });
        kept.map(|row| row.zone).collect()
    }

    /// The zones after all of them were read or named by a peer.
    fn replaced(&mut self, settled: bool, names: Vec<String>) -> Vec<String> {
        self.settled |= settled;
        match self.settled {
            true => names,
            false => self.added(names),
        }
    }

    /// The known zones and further ones.
    fn added(&self, names: Vec<String>) -> Vec<String> {
        names.into_iter().chain(self.names.iter().cloned()).collect()
    }

    /// The zones after single rows have changed. Only a zone of a settled set may be removed.
    fn changed(&self, revision: u64, rows: Vec<ZoneRow>) -> Vec<String> {
        let mut names = self.names.clone();
        for row in rows.into_iter().filter(|r| r.revision > revision) {
            match row.state {
                RowState::Evacuated => names.push(row.zone),
                RowState::Removed if self.settled => names.retain(|n| *n != row.zone),
                RowState::Removed | RowState::Invalid(_) => {}
            }
        }
        names
    }

    fn set_names(&mut self, mut names: Vec<String>) -> bool {
        names.sort_unstable();
        names.dedup();
        if names == self.names {
            return false;
        }
        self.zones = names.iter().map(|name| id(name)).collect();
        self.zones.sort_unstable();
        self.names = names;
        true
    }
}
