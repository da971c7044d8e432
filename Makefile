.PHONY: build test lint run ci

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# GW_CONFIG names the configuration; ARGS are passed on, such as ARGS="--sse my-sse.toml".
run: build
	target/release/mothproxy $(ARGS)

ci:
	bash .ci/run
