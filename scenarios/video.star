# A busy video day: what is asked for would fill the link into the depot twice over, and orders share it.

BUDGET = True
SECONDS = 60
LINK = 12000
SEATS = 4
# KB that may cross at once beyond the rate. Where hundreds of dispatchers divide it, more of it is used.
BURST = 6000

# Videos a second, and their sizes in KB.
PER_S = 100
MEDIAN = 250
MOST = 4000

scenario(name = "video", seconds = SECONDS, from_s = 5)

fleet(notes = "all", link_told = True)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = LINK, dispatchers = SEATS)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 300000)
hosts(role = "parent", zone = "hub", count = 3, size = 20, room_kb = 2000000)
hosts(role = "origin", zone = "hub", size = 20, first_byte_ms = 40, places = 200)

track(name = "video", due_ms = 800, limit_ms = 4000, importance = 1)
track(name = "label", due_ms = 400, limit_ms = 3000, importance = 1)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "video", per_s = PER_S, objects = 20000, zipf = 0.7, median_kb = MEDIAN, spread = 0.6, once = 0.5,
       most_kb = MOST)
stream(track = "label", per_s = 60, objects = 4000, median_kb = 25)
stream(track = "order", per_s = 20, median_kb = 4)

zones(on = True, report_s = 1)
if BUDGET:
    crossing(name = "depot-link", into = "depot", kb_per_s = LINK * 0.85, burst_kb = BURST,
             reserve_kb_per_s = LINK * 0.1, largest_kb = MOST)
