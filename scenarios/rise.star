# A depot on an ordinary day, and one thing that makes fills rise in its last part.

TROUBLE = "none"
SECONDS = 120
STRIKE = 75
SEATS = 3

scenario(name = "rise", seconds = SECONDS, from_s = 3)

fleet(notes = "hits")

zone(name = "hub")
zone(name = "depot", link_kb_per_s = 60000, dispatchers = SEATS)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 3, size = 20, room_kb = 2000000)
hosts(role = "origin", zone = "hub", size = 20, first_byte_ms = 40, places = 200)

track(name = "video", due_ms = 800, limit_ms = 4000, importance = 1, fresh_ms = 600000, grace_ms = 120000)
track(name = "label", due_ms = 400, limit_ms = 3000, importance = 1, fresh_ms = 600000, grace_ms = 60000)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "video", per_s = 60, objects = 3000, zipf = 1.0, median_kb = 200, spread = 0.6, once = 0.03, most_kb = 3000)
stream(track = "label", per_s = 90, objects = 6000, zipf = 1.0, median_kb = 25, once = 0.03)
stream(track = "order", per_s = 10, median_kb = 4)

zones(on = True, report_s = 1)

if TROUBLE == "host":
    trouble(kind = "crash", target = "depot/cache/1", at_s = STRIKE, for_s = 30)
if TROUBLE == "purge":
    for group in range(64):
        trouble(kind = "purge", target = "%d" % group, at_s = STRIKE)
if TROUBLE == "once":
    stream(track = "video", per_s = 60, median_kb = 200, spread = 0.6, once = 1.0, from_s = STRIKE)
if TROUBLE == "oversized":
    stream(track = "video", per_s = 6, objects = 1, median_kb = 8000, spread = 0.0, parts = 1000, from_s = STRIKE)
