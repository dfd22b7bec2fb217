# A deploy brings the caches back cold, one after the other, while a recall notice makes everyone look at labels.

scenario(name = "roll", seconds = 90, from_s = 5)

fleet(notes = "hits")

zone(name = "hub")
zone(name = "north", link_kb_per_s = 30000, dispatchers = 3)
zone(name = "south", link_kb_per_s = 30000, dispatchers = 2, distance_ms = 25)

for depot in ["north", "south"]:
    hosts(role = "cache", zone = depot, count = 5, size = 8, room_kb = 250000)
hosts(role = "parent", zone = "hub", count = 3, size = 14, room_kb = 700000)
hosts(role = "origin", zone = "hub", size = 10, first_byte_ms = 40, places = 60)

track(name = "video", due_ms = 500, limit_ms = 4000, importance = 1, fresh_ms = 60000, grace_ms = 120000)
track(name = "label", due_ms = 300, limit_ms = 3000, importance = 2, fresh_ms = 30000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "zone", window_ms = 3000, written = True)

stream(track = "video", per_s = 110, objects = 2500, median_kb = 220, parts = 4)
stream(track = "label", per_s = 250, objects = 6000, median_kb = 25)
stream(track = "order", per_s = 12, median_kb = 4)

burst(track = "label", at_s = 30, for_s = 20, times = 6)
trouble(kind = "roll", target = "north/cache", at_s = 25, for_s = 1, step_s = 6)
trouble(kind = "roll", target = "south/cache", at_s = 28, for_s = 1, step_s = 6)
trouble(kind = "purge", target = "17", at_s = 32)
trouble(kind = "purge", target = "18", at_s = 33)
