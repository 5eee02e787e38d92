//! Instances hand their lists of backend servers to each other by changes. Guards against a list of several thousand
//! servers that is sent whole after each change, and against lists that drift apart.

use std::time::Duration;

use agateroute_core::roster::{Listing, Roster};
use agateroute_core::server_list::{ListPoint, ListUpdate, ServerList};
use bolero::{TypeGenerator, check};

/// Long enough that the number of iterations ends the test, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);
const READERS: usize = 2;
const CLIENTS: usize = 3;

fn listing(name: &str, start_ms: u64, writes: u64) -> Listing {
    Listing {
        name: name.to_owned(),
        service: "orders".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        ready: true,
        start_ms,
        writes,
    }
}

fn list_of(names: &[String]) -> ServerList {
    let mut list = ServerList::new(7);
    list.replace(names.iter().map(|n| listing(n, 1, 0)));
    list
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s-{i:04}")).collect()
}

#[test]
fn only_changes_sent() {
    // Every third of a second a sixth of a hundred servers leave; a peer that asks often gets just these.
    let all = names(3_300);
    let mut list = list_of(&all);
    let point = list.point();
    let before = list.digest();
    list.replace(all.iter().skip(2).map(|n| listing(n, 1, 0)).chain([listing("s-new", 5, 0)]));
    let update = list.update_since(point, before);
    let ListUpdate::Changes(changed, removed) = update else { panic!("{update:?}") };
    assert_eq!(changed.iter().map(|l| l.name.as_str()).collect::<Vec<_>>(), ["s-new"]);
    assert_eq!(removed, all[..2]);
    assert_eq!(list.update_since(list.point(), list.digest()), ListUpdate::Same);
}

#[test]
fn heartbeats_are_no_changes() {
    let all = names(5);
    let mut list = list_of(&all);
    let (point, before) = (list.point(), list.digest());
    list.replace(all.iter().map(|n| listing(n, 1, 99)));
    assert_eq!((list.point(), list.digest()), (point, before));
}

#[test]
fn whole_list_when_changes_are_gone() {
    let all = names(10);
    let mut list = list_of(&all);
    let (point, before) = (list.point(), list.digest());
    for start in 0..5_000 {
        list.replace([listing("s-0000", start, 0)].into_iter());
    }
    assert!(matches!(list.update_since(point, before), ListUpdate::Whole(_)), "too far behind");
    let other = ListPoint { source: 8, ..list.point() };
    assert!(matches!(list.update_since(other, before), ListUpdate::Whole(_)), "another instance");
    let ahead = ListPoint { number: list.point().number + 1, ..list.point() };
    assert!(matches!(list.update_since(ahead, before), ListUpdate::Whole(_)), "an earlier start");
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// A server is added, or restarts.
    Start(u8, u8),
    Leave(u8),
    /// A reader reads the table.
    Read(u8),
    /// A client asks a reader, and the answer may be lost.
    Fetch {
        client: u8,
        reader: u8,
        lost: bool,
    },
    RestartReader(u8),
    RestartClient(u8),
}

struct Reader {
    list: ServerList,
    revision: u64,
}

#[derive(Default)]
struct Client {
    roster: Roster,
    list: Option<ServerList>,
    point: ListPoint,
}

impl Client {
    fn digest(&self) -> u64 {
        self.list.as_ref().map_or(0, ServerList::digest)
    }

    /// Takes the answer of a reader, as the daemon does. Returns the number of entries in it.
    fn fetch(&mut self, now: u64, reader: &Reader, lost: bool) -> usize {
        let update = reader.list.update_since(self.point, self.digest());
        if lost {
            return 0;
        }
        let entries = match update {
            ListUpdate::Same => 0,
            ListUpdate::Changes(changed, removed) => {
                let entries = changed.len() + removed.len();
                self.roster.update_from_peer(now, reader.revision, changed, &removed);
                entries
            }
            ListUpdate::Whole(all) => {
                let entries = all.len();
                self.roster.set_from_peer(now, reader.revision, all);
                entries
            }
        };
        self.list.get_or_insert_with(|| ServerList::new(99)).replace(self.roster.ready().cloned());
        self.point = reader.list.point();
        if self.digest() != reader.list.digest() {
            self.point = ListPoint::default();
        }
        entries
    }
}

/// Whatever the order of changes, reads, fetches, losses and restarts, two undisturbed fetches from a reader that has
/// read give the list as it is.
#[test]
fn all_come_to_the_same_list() {
    check!().with_type::<Vec<Step>>().with_iterations(2_000).with_test_time(TEST_TIME).for_each(
        |steps| {
            let mut table: Vec<Listing> = Vec::new();
            let (mut revision, mut source) = (1, 1);
            let mut new_reader = || {
                source += 1;
                Reader { list: ServerList::new(source), revision: 0 }
            };
            let mut readers: Vec<Reader> = (0..READERS).map(|_| new_reader()).collect();
            let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::default()).collect();
            for step in steps.iter().take(200) {
                match *step {
                    Step::Start(server, start) => {
                        revision += 1;
                        let name = format!("s-{}", server % 6);
                        table.retain(|l| l.name != name);
                        table.push(listing(&name, u64::from(start), 0));
                    }
                    Step::Leave(server) => {
                        revision += 1;
                        let name = format!("s-{}", server % 6);
                        table.retain(|l| l.name != name);
                    }
                    Step::Read(reader) => {
                        let reader = &mut readers[usize::from(reader) % READERS];
                        reader.list.replace(table.iter().cloned());
                        reader.revision = revision;
                    }
                    Step::Fetch { client, reader, lost } => {
                        let reader = &readers[usize::from(reader) % READERS];
                        clients[usize::from(client) % CLIENTS].fetch(revision, reader, lost);
                    }
                    Step::RestartReader(reader) => {
                        readers[usize::from(reader) % READERS] = new_reader();
                    }
                    Step::RestartClient(client) => {
                        clients[usize::from(client) % CLIENTS] = Client::default();
                    }
                }
            }
            let last = &mut readers[0];
            last.list.replace(table.iter().cloned());
            last.revision = revision;
            for client in &mut clients {
                client.fetch(revision, last, false);
                client.fetch(revision, last, false);
                let mut expected: Vec<&str> = table.iter().map(|l| l.name.as_str()).collect();
                expected.sort_unstable();
                let known: Vec<&str> = client.roster.ready().map(|l| l.name.as_str()).collect();
                assert_eq!(known, expected);
                assert_eq!(client.digest(), last.list.digest());
                assert_eq!(client.fetch(revision, last, false), 0, "nothing is sent twice");
            }
        },
    );
}
