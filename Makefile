# One target for each thing that is done with the repository.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One dispatcher on loopback, by the example configuration; it ends on a signal.
run: build
	RELAY_CONFIG=deploy/example/config.json exec target/release/trailproxyd
