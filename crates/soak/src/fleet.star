# The fleet of a soak run; the words in capitals are filled in by the plan.

scenario(name = "soak", seconds = SECONDS, from_s = 0.5)

fleet(notes = "hits")
clients(retries = 0, away_ms = 100)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 90000, dispatchers = DISPATCHERS)

hosts(role = "cache", zone = "depot", count = 6, size = 12, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 2, size = 20, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 30, first_byte_ms = 20, places = 300)

track(name = "label", due_ms = 400, limit_ms = 3000, importance = 1, fresh_ms = 30000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 2500, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 1000, written = True)
track(name = "payment", due_ms = 800, limit_ms = 3000, importance = 5, effect = "binding", written = True)

stream(track = "label", per_s = READS, objects = 1500, median_kb = 20)
stream(track = "order", per_s = ORDERS, median_kb = 4)
stream(track = "payment", per_s = ONCE, median_kb = 2)
