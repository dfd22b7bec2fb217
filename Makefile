# One target for each thing that is done with the repository.
.PHONY: soak client-shapes journal-soak replicas-by-zone build test lint run lab lab-validate bench-relay zones replicas store-faults budgets other-sites capacity

build:
	cargo build --release --workspace --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One dispatcher on loopback, by the example configuration; it ends on a signal.
run: build
	RELAY_CONFIG=deploy/example/config.json exec target/release/trailproxyd

# Three scenarios in the model and one on loopback, with their pages, in under two minutes.
lab: build
	for name in cascade roll big; do target/release/trailproxy lab model scenarios/$$name.star --out out/$$name || exit; done
	target/release/trailproxy lab loopback scenarios/calm.star --out out/calm-loopback

# Model against loopback, five days each: about eight minutes, with the cores to itself.
lab-validate: build
	for name in calm cascade; do \
		target/release/trailproxy lab validate scenarios/$$name.star --days 5 --out out/validate-$$name || exit; \
	done

# The highest rate one dispatcher sustains beside a bare relay: about two minutes, with the cores to itself.
bench-relay: build
	target/release/trailproxy lab bench --p99-ms 20 --seconds 2 --out out/bench

# Account, budget and watch of traffic between zones: about four minutes on eight cores, with the cores to itself.
zones: build
	target/release/trailproxy zones measure --days 10 --strikes 100 --out out/zones

# Randomized faults that overlap, on twelve dispatchers and on thirty: about four minutes. SEED= moves what is drawn.
soak: build
	target/release/trailproxy soak --seed $(SEED) --runs 8 --out out/soak/twelve
	target/release/trailproxy soak --seed $(SEED) --runs 4 --dispatchers 30 --rate 5 --out out/soak/thirty

# A slow journal service with faults beside it, seeds 100 to 195: about six minutes. JOURNAL_SEEDS= names others.
JOURNAL_SEEDS ?= 100..196
journal-soak:
	JOURNAL_SEEDS=$(JOURNAL_SEEDS) cargo test --locked -p trailproxyd --test journal_soak -- --nocapture

# What clients may do within the protocol, all at once, at limits that are drawn: about six minutes. SEED= chooses the first run.
client-shapes:
	SHAPES_SEED=$(SEED) SHAPES_RUNS=50 cargo test --release --locked -p trailproxyd --test client_shapes -- --ignored --nocapture

# Five dispatchers under faults between them, alone and in pairs, with peers and without: about eleven minutes on six
# cores. SEED= moves what is drawn; the summary comes into out/replicas.
SEED ?= 1
replicas: build
	mkdir -p out/replicas && rm -f out/replicas/model.txt
	FIGURES=$(CURDIR)/out/replicas/model.txt cargo test --release --locked -p trailproxy-peers --test figures -- --ignored --nocapture
	FIGURES=$(CURDIR)/out/replicas/model.txt cargo test --release --locked -p trailproxy-peers --test sweep mistakes -- --nocapture
	target/release/trailproxy trial scenarios/trials/sixteen.star --refuse --seed $(SEED) --out out/replicas/sixteen
	target/release/trailproxy trial scenarios/trials/base.star --all --refuse --seed $(SEED) --jobs 4 --out out/replicas

# Twelve dispatchers in four zones that are far apart, each fault alone, with peers and without: about nine minutes.
replicas-by-zone: build
	target/release/trailproxy trial scenarios/trials/zones.star --all --alone --refuse --seed $(SEED) --jobs 2 --out out/replicas-by-zone

# Three dispatchers and a store that fails, alone and in pairs: about seven minutes; the summary comes into out/store.
store-faults: build
	target/release/trailproxy trial scenarios/trials/store.star --all --store --seed $(SEED) --jobs 4 --out out/store

# Budgets of five dispatchers, divided and in equal shares, under faults alone and in pairs: about fifteen minutes on six
# cores; the summary comes into out/budgets, with the figures of the model.
budgets: build
	mkdir -p out/budgets && rm -f out/budgets/model.txt
	FIGURES=$(CURDIR)/out/budgets/model.txt cargo test --release --locked -p trailproxy-budgets --test sweep mistakes -- --nocapture
	FIGURES=$(CURDIR)/out/budgets/model.txt cargo test --release --locked -p trailproxy-budgets --test figures -- --ignored --nocapture
	target/release/trailproxy trial scenarios/trials/budget.star --all --budgets --seed $(SEED) --jobs 4 --out out/budgets

# The operators' standing test on the deployments of deploy/sites, quick and brink: about three minutes on six cores. What the
# bench wants beside a site is linked in from the kit, which is no part of the repository; KIT= names where it is.
KIT ?= ../given/kit
WHY ?= The standing test on deployments of our own
other-sites: build
	@test -x $(KIT)/more/mass/bin/lbreal || { echo "The operators' kit is missing: no $(KIT)/more/mass/bin/lbreal; name it by KIT="; exit 1; }
	for file in real.json wire.json unlock.txt; do ln -sf $(abspath $(KIT))/more/mass/other/$$file deploy/sites/ || exit; done
	for site in deploy/sites/*.toml; do for days in --quick "--panel brink"; do \
		$(KIT)/more/mass/bin/lbreal score $$site $$days --seed $(SEED) --no-build --why "$(WHY), seed $(SEED)" || exit; done; done

# What a large fleet costs and achieves, by size, in virtual time: real cores of all members, on four threads. The page and the
# summary come into out/capacity. CAPACITY= lengthens or narrows it, as in CAPACITY="--only rest,purges".
# With replicas by zone; CAPACITY="--quick --placement fleet-wide" plays the form without sites.
CAPACITY ?= --quick
capacity: build
	target/release/trailproxy capacity --seed $(SEED) $(CAPACITY) --out out/capacity
