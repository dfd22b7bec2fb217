# A depot on an ordinary day: nothing goes wrong.

scenario(name = "calm", seconds = 30, from_s = 3)

fleet(notes = "hits")

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 36000, dispatchers = 3)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 3, size = 12, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 10, first_byte_ms = 40, places = 60)

track(name = "video", due_ms = 500, limit_ms = 4000, importance = 1, fresh_ms = 60000, grace_ms = 120000)
track(name = "label", due_ms = 300, limit_ms = 3000, importance = 1, fresh_ms = 30000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)
track(name = "payment", due_ms = 800, limit_ms = 3000, importance = 5, effect = "binding", written = True)

stream(track = "video", per_s = 60, objects = 4000, median_kb = 250, parts = 4)
stream(track = "label", per_s = 120, objects = 8000, median_kb = 25)
stream(track = "order", per_s = 12, median_kb = 4)
stream(track = "payment", per_s = 4, median_kb = 3)
