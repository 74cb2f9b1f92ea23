use decision::Millis;
use fleet::*;
fn main() {
    let mut f = Fleet::new(FleetConfig {
        size: 360,
        is_preloaded: true,
        cluster: Default::default(),
        ..Default::default()
    });
    f.change_lists(1, lists_text(10, 1));
    for t in [5, 10, 20, 40, 60, 80, 100] {
        let b = f.traffic;
        f.run(Millis(t * 1000));
        println!(
            "{t} views {:?} packets {} link {}",
            f.views(),
            f.traffic.packets - b.packets,
            f.traffic.link_bytes - b.link_bytes
        );
    }
}
