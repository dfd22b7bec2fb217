# The slow origin again, and this one falls over when all come back to it at once.

scenario(name = "rush", seconds = 60, from_s = 5)

fleet(notes = "all", origin_bears = 1.2, fallen_ms = 8000)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 36000, dispatchers = 4)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 200000)
hosts(role = "parent", zone = "hub", count = 3, size = 12, room_kb = 600000)
hosts(role = "origin", zone = "hub", size = 6, first_byte_ms = 60, places = 60)

track(name = "video", due_ms = 500, limit_ms = 4000, importance = 1, fresh_ms = 20000, grace_ms = 120000)
track(name = "label", due_ms = 300, limit_ms = 3000, importance = 1, fresh_ms = 10000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "video", per_s = 70, objects = 3000, median_kb = 200, parts = 4)
stream(track = "label", per_s = 150, objects = 12000, median_kb = 25)
stream(track = "order", per_s = 12, median_kb = 4)

trouble(kind = "slow", target = "hub/origin", at_s = 20, for_s = 20, by = 20)
