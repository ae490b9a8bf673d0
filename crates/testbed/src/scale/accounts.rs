//! What the kernel keeps of a process: processor time and memory.

/// Ticks of processor time in a second, as proc_pid_stat(5) counts them on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time that a process has used, user and system, in seconds.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The second field is the program's name, which may hold anything; the others begin behind its parenthesis.
    let fields: Vec<&str> = text.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |place: usize| fields.get(place)?.parse::<u64>().ok();
    Some((ticks(11)? + ticks(12)?) as f64 / TICKS_PER_SECOND)
}

/// Resident memory of a process in MiB.
pub fn resident_mib(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib / 1024.0)
}

/// Datagrams that the kernel dropped at sockets bound to these addresses' network (`127.N.0.0/16`), from
/// `/proc/net/udp`.
pub fn dropped_datagrams(second_octets: &[u8]) -> u64 {
    let text = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let dropped = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Little-endian hexadecimal: 127.64.0.1 is 0100407F.
        let octet = u8::from_str_radix(fields.get(1)?.get(4..6)?, 16).ok()?;
        let loopback = fields.get(1)?.get(6..8)? == "7F";
        let drops = fields.last()?.parse::<u64>().ok()?;
        (loopback && second_octets.contains(&octet)).then_some(drops)
    };
    text.lines().skip(1).filter_map(dropped).sum()
}
