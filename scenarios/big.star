# Many depots: 200 dispatchers, 120 caches, 3,000 accesses a second, and a parent and two caches that fail.

DEPOTS = 20

scenario(name = "big", seconds = 60, from_s = 5)

fleet(notes = "hits")

zone(name = "hub")
for n in range(DEPOTS):
    zone(name = "depot-%d" % n, link_kb_per_s = 36000, dispatchers = 10, distance_ms = 5 + n)
    hosts(role = "cache", zone = "depot-%d" % n, count = 6, size = 8, room_kb = 150000)

hosts(role = "parent", zone = "hub", count = 8, size = 60, room_kb = 4000000, places = 2000)
hosts(role = "origin", zone = "hub", size = 60, first_byte_ms = 40, places = 300)

track(name = "video", due_ms = 500, limit_ms = 4000, importance = 1, fresh_ms = 60000, grace_ms = 120000)
track(name = "label", due_ms = 300, limit_ms = 3000, importance = 1, fresh_ms = 30000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "video", per_s = 900, objects = 6000, median_kb = 200, parts = 4)
stream(track = "label", per_s = 1950, objects = 30000, median_kb = 25)
stream(track = "order", per_s = 150, median_kb = 4)

trouble(kind = "crash", target = "hub/parent/0", at_s = 20, for_s = 3)
trouble(kind = "silence", target = "depot-3/cache/0", at_s = 25, for_s = 10)
trouble(kind = "slow", target = "depot-5/cache/1", at_s = 30, for_s = 15, by = 10)
