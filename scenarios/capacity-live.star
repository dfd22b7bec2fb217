# What stands around dispatchers whose own cost is measured: hosts that are never the bottleneck.

scenario(name = "capacity-live", seconds = 60, from_s = 1)

fleet(notes = "hits", purge_done_ms = 1000)
clients(retries = 0, away_ms = 100)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 360000, dispatchers = 1)

hosts(role = "cache", zone = "depot", count = 4, size = 64, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 2, size = 64, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 64, first_byte_ms = 5, places = 2000)

track(name = "label", due_ms = 800, limit_ms = 3000, importance = 1, fresh_ms = 30000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 1000, written = True)

stream(track = "label", per_s = 60, objects = 4000, median_kb = 4)
stream(track = "order", per_s = 30, median_kb = 1)
