# Pinned versions of the development tools, and functions that install a tool
# unless the pinned version is installed. Sourced by other scripts.
GOLANGCI_LINT_VERSION=v2.15.0
GOFUMPT_VERSION=v0.12.0
# gopls v0.24.0 needs a newer version of Go than the workspace uses.
GOPLS_VERSION=v0.23.0
TOOLS="$(go env GOPATH)/bin"
export PATH="$TOOLS:$PATH"

# install_tool NAME PACKAGE VERSION installs one tool.
install_tool() {
	if go version -m "$TOOLS/$1" 2>/dev/null | grep -q "mod.*$3"; then
		return
	fi
	echo "installing $1 $3"
	(cd / && go install "$2@$3")
}

install_tools() {
	install_tool golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint "$GOLANGCI_LINT_VERSION"
	install_tool gofumpt mvdan.cc/gofumpt "$GOFUMPT_VERSION"
}

# install_gopls installs gopls, which renames identifiers in all modules of the
# workspace. scripts/test does not need it.
install_gopls() {
	install_tool gopls golang.org/x/tools/gopls "$GOPLS_VERSION"
}

# Modules of the workspace, in dependency order.
MODULES="core io platform cmd standin e2e"
