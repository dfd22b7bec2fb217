# Twelve dispatchers in four zones of two regions that are far apart, and clients that come again at any of them.

scenario(name = "zones", seconds = 10, from_s = 1)

fleet(notes = "hits")
clients(retries = 3, away_ms = 100)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 36000, dispatchers = 12)

hosts(role = "cache", zone = "depot", count = 4, size = 8, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 2, size = 12, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 10, first_byte_ms = 40, places = 120)

track(name = "label", due_ms = 300, limit_ms = 3000, importance = 1, fresh_ms = 30000, grace_ms = 60000)
# A repeat is dropped for less time than a client goes on asking.
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 1000, written = True)

stream(track = "label", per_s = 60, objects = 4000, median_kb = 25)
stream(track = "order", per_s = 30, median_kb = 4)

# For a while the origin answers late, so that clients come again while the first try still runs.
trouble(kind = "slow", target = "hub/origin", at_s = 2, for_s = 3, by = 25)

trial(again = 8, zones = 4, zone_ms = 10, region_ms = 40, keep_s = 5, lead_s = 14, patience_ms = 1200)
