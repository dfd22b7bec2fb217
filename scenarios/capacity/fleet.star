# The fleet as it is expected in two years: 490 dispatchers at 40 sites in 3 regions with 6 zones.

fleet(
    members = 490,
    purges_per_s = 7.5,
    requests_per_s = 939,
    keyed_share = 0.035,
    repeat_share = 0.1,
)

ZONES = {"north": ["north-1", "north-2"], "south": ["south-1", "south-2"], "east": ["east-1", "east-2"]}

for region_name, zone_names in ZONES.items():
    region(name = region_name)
    for zone_name in zone_names:
        zone(name = zone_name, region = region_name)

# Seats of each site, and its load beside that of a usual dispatcher.
SITES = [
    (50, 1.3), (44, 1.0), (38, 1.2), (33, 0.9), (29, 1.1), (26, 0.8), (24, 1.0), (22, 1.4), (20, 0.7), (18, 1.0),
    (17, 0.9), (15, 1.2), (14, 0.8), (13, 1.0), (12, 0.6), (11, 1.1), (10, 1.5), (9, 0.7), (8, 1.0), (8, 0.5),
    (7, 1.2), (7, 0.8), (6, 1.0), (6, 0.6), (5, 1.3), (5, 0.9), (4, 0.7), (4, 1.8), (4, 0.5), (3, 1.0),
    (3, 0.4), (3, 1.2), (2, 0.8), (2, 0.6), (2, 1.5), (2, 0.5), (1, 2.0), (1, 0.4), (1, 1.0), (1, 0.3),
]

ZONE_NAMES = ["north-1", "south-1", "east-1", "north-2", "south-2", "east-2"]

for number, (seats, load_factor) in enumerate(SITES):
    site(name = "site-%d" % number, zone = ZONE_NAMES[number % len(ZONE_NAMES)], seats = seats, load_factor = load_factor)

# One way, between two dispatchers.
distance(kind = "site", least_ms = 0.1, most_ms = 0.9, loss = 0.0001)
distance(kind = "zone", least_ms = 1, most_ms = 2, loss = 0.0002)
distance(kind = "region", least_ms = 5, most_ms = 10, loss = 0.0005)
distance(kind = "between_regions", least_ms = 30, most_ms = 80, loss = 0.002)
