package cmds

import "dandelionstile/share/daemon"

func init() { register(func() command { return &version{} }, "version") }

// version prints the release.
type version struct{ output }

type shownVersion struct {
	Version string `json:"version"`
}

// Help describes the command.
func (*version) Help() string { return "print the release" }

// Run prints it.
func (*version) Run(out *printer) error {
	out.line("%s", daemon.VersionText("stile"))
	return out.value(shownVersion{daemon.Version})
}
