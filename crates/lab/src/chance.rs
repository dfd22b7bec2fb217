//! Numbers that look drawn and are the same whenever they are asked for.

/// An even spread of two numbers over one.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    for factor in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(factor);
    }
    x ^ (x >> 31)
}
