# The journal service says nothing to two of five dispatchers while objects are purged and caches drain.

scenario(name = "hidden", seconds = 10, from_s = 1)

fleet(notes = "hits", purge_grace_ms = 1000)
clients(retries = 2, away_ms = 100)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 36000, dispatchers = 5)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 2, size = 12, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 10, first_byte_ms = 20, places = 120)

track(name = "label", due_ms = 300, limit_ms = 3000, importance = 1, fresh_ms = 60000, grace_ms = 120000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "label", per_s = 150, objects = 300, median_kb = 10)
stream(track = "order", per_s = 10, median_kb = 4)

# Every group of objects, one after the other.
[trouble(kind = "purge", target = "%d" % group, at_s = 2.5 + group * 0.008) for group in range(256)]
trouble(kind = "roll", target = "depot/cache/0", at_s = 3, for_s = 1)

trial(patience_ms = 3000, again = 4, keep_s = 8)

strike(what = "silent", at_s = 2, for_s = 6, who = [0, 1])
