# What is asked for would fill the way into the depot twice over; one of five dispatchers has most of the clients, and two
# caches come back cold. The links count what crosses, second by second, against the operator's rate and burst.

SECONDS = 12
RATE = 3000
BURST = 2000

scenario(name = "budget", seconds = SECONDS, from_s = 3)

fleet(notes = "all", link_told = True)
clients(retries = 0)

zone(name = "hub")
zone(name = "depot", link_kb_per_s = RATE * 4, dispatchers = 5)

hosts(role = "cache", zone = "depot", count = 6, size = 8, room_kb = 200000)
hosts(role = "parent", zone = "hub", count = 2, size = 20, room_kb = 900000)
hosts(role = "origin", zone = "hub", size = 20, first_byte_ms = 20, places = 200)

track(name = "video", due_ms = 800, limit_ms = 3000, importance = 1)
track(name = "order", due_ms = 800, limit_ms = 3000, importance = 5,
      effect = "fingerprinted", group = "all", window_ms = 3000, written = True)

stream(track = "video", per_s = 60, objects = 20000, zipf = 0.6, median_kb = 70, spread = 0.5, once = 0.5, most_kb = 400)
stream(track = "order", per_s = 15, median_kb = 4)

zones(on = True, report_s = 1)
crossing(name = "depot-link", into = "depot", kb_per_s = RATE, burst_kb = BURST, reserve_kb_per_s = RATE * 0.1,
         largest_kb = 400)

trouble(kind = "roll", target = "depot/cache/0", at_s = 5, for_s = 1)
trouble(kind = "roll", target = "depot/cache/1", at_s = 6, for_s = 1)

trial(budgets = True, busy = 0.8, lead_s = 4, keep_s = 7, patience_ms = 3000, again = 0)
