# The operator's own file. Each subsystem has a section; what is not given keeps its default.

lab(days = 5, seed = 1)

# Traffic between zones is accounted for and watched; see docs/zones.md. The link into the depot carries 36,000 KB/s, of
# which what clients read straight is left out, and orders have a part to themselves.
zones(report_s = 10)
crossing(name = "depot-link", into = "depot", kb_per_s = 30000, burst_kb = 15000, reserve_kb_per_s = 3000,
         largest_kb = 20000)
