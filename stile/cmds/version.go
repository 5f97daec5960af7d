package cmds

import "dandelionstile/share/daemon"

func init() { register(func() command { return &version{} }, "version") }

// version prints the version of the release.
type version struct{ outputFlags }

type versionResult struct {
	Version string `json:"version"`
}

// Help describes the command.
func (*version) Help() string { return "print the release" }

// Run prints the version.
func (*version) Run(out *printer) error {
	out.printText("%s", daemon.VersionText("stile"))
	return out.printJSON(versionResult{daemon.Version})
}
