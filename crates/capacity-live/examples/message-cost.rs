//! Prints where the time of one message goes, for the sizes of the fleet that are named.

use trailproxy_capacity_live::cost::measure;
use trailproxy_capacity_live::figures::LiveFigures;

fn main() -> std::io::Result<()> {
    let sizes = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok());
    let costs = sizes.map(|size| measure(size, 1));
    let costs = costs.collect::<std::io::Result<_>>()?;
    let figures = LiveFigures {
        costs,
        ..LiveFigures::default()
    };
    print!("{figures}");
    Ok(())
}
