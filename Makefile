# Nothing but Go, make and the module proxy is needed.
MODULES := . core standin

.PHONY: build demo test race lint docs fmt

build:
	go build -o bin/ ./cmd/...
	cd standin && go build -o ../bin/ ./cmd/...

# The whole path on one machine, as separate processes; stops by itself.
demo: build
	./bin/demo

# Without the cache: the integration tests run programs that it does not see.
test:
	@for m in $(MODULES); do (cd $$m && go test -count=1 ./...) || exit 1; done

race:
	cd core && go test -race ./instance/... ./book/...
	go test -race ./internal/...

# staticcheck is pinned by the tool directive in go.mod.
lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go build -o bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	@for m in $(MODULES); do (cd $$m && go vet ./... && $(CURDIR)/bin/staticcheck ./...) || exit 1; done

# Pages that are generated from the code: codes, events, settings, metrics.
docs:
	go test ./internal/pages -update
