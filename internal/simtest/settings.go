package simtest

import (
	"fmt"
	"time"

	"github.com/cobaltvale/cobaltvale/internal/settings"
)

// SettingsFormat is a format string for the settings file of a member. Its arguments are the
// member's name and the [[known]] tables of the other members.
const SettingsFormat = `
member = "%s"
site = "z1"
api_addr = "10.0.0.1:1"
mesh_addr = "10.0.0.1:2"
%s
[external]
cloud = "10.0.0.9:1"
state = "10.0.0.9:2"
[settings]
zones = ["z1", "z2"]
clock_off_ms = 10.0
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 32.0
[[settings.teams]]
name = "blue"
cpus = 8.0
cpus_max = 0.0
[[settings.teams]]
name = "guest"
[settings.workers]
report_s = 2.0
lease_s = 16.0
cancel_s = 40.0
[settings.state]
rps = 600.0
write_rps = 300.0
value_kb = 8.0
txn_ops = 16
[settings.cloud]
rps = 30.0
list_lag_s = 6.0
[settings.limits]
cores = 0.1
mem_mb = 100.0
sockets = 500
`

// defaultMachineLeaseDuration is the lease of machines, lease_s of SettingsFormat.
const defaultMachineLeaseDuration = 16 * time.Second

// settingsFor returns the settings with which the next process of a member starts.
func (d *Deployment) settingsFor(name string) *settings.File {
	known := ""
	for _, other := range d.Members {
		if other != name {
			known += fmt.Sprintf("[[known]]\nmember = %q\nsite = \"z1\"\naddress = \"10.0.0.2:2\"\n", other)
		}
	}
	text := fmt.Appendf(nil, SettingsFormat, name, known)
	if !d.PreviousVersion[name] {
		text = append(text, d.options.NextLimits...)
	}
	file, err := settings.Parse(text)
	if err != nil {
		d.T.Fatal(err)
	}
	if d.AdjustSettings != nil {
		d.AdjustSettings(file)
	}
	return file
}
