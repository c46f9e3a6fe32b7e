package ctl

import (
	"cmp"
	"crypto/tls"
	"os"
	"strings"
	"sync"

	"carobshunt/client"
	"carobshunt/internal/secure"
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Deployment holds the addresses of the entry hosts and the credentials for them. It is read from a JSON file; flags
// override its values.
type Deployment struct {
	// Operators holds the addresses of the operators' interfaces of all entry hosts.
	Operators []string `json:"operators,omitempty" jsonschema:"description=operators' addresses of all entry hosts"`
	// Entries holds addresses of callers' interfaces of entry hosts.
	Entries []string `json:"entries,omitempty" jsonschema:"description=callers' addresses of entry hosts"`
	// Zone is the availability zone whose hosts come first in a lookup.
	Zone string `json:"zone,omitempty" jsonschema:"description=availability zone whose hosts come first"`
	// Team is the team on whose limits requests count.
	Team string `json:"team,omitempty" jsonschema:"description=team on whose limits requests count"`
	// TeamKeyFile and OperatorKeyFile name files that hold a bearer key.
	TeamKeyFile     string `json:"team_key_file,omitempty" jsonschema:"description=file with the team's bearer key"`
	OperatorKeyFile string `json:"operator_key_file,omitempty" jsonschema:"description=file with the operator's bearer key"`
	// CallersTLS and OperatorsTLS report which interfaces speak TLS.
	CallersTLS   bool `json:"callers_tls,omitempty" jsonschema:"description=callers' interfaces speak TLS"`
	OperatorsTLS bool `json:"operators_tls,omitempty" jsonschema:"description=operators' interfaces speak TLS"`
	// AuthorityFile names the CA certificates that verify the hosts; CertificateFile and PrivateKeyFile name the
	// client certificate.
	AuthorityFile   string `json:"authority_file,omitempty" jsonschema:"description=certificates (PEM) of the authority of the hosts' certificates"`
	CertificateFile string `json:"certificate_file,omitempty" jsonschema:"description=certificate (PEM) that is shown to hosts"`
	PrivateKeyFile  string `json:"private_key_file,omitempty" jsonschema:"description=private key (PEM) of certificate_file"`
}

var deploymentSchema = sync.OnceValue(func() *strictjson.Schema { return strictjson.MustReflect(&Deployment{}) })

// DeploymentReference returns the JSON schema of the deployment file.
func DeploymentReference() []byte { return deploymentSchema().Text() }

// deploymentVariable names the environment variable that is used when --deployment is not given.
const deploymentVariable = "CAROBCTL_DEPLOYMENT"

func (a *app) deploymentFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVarP(&a.deploymentFile, "deployment", "d", "",
		"file that tells where the hosts are, JSON; "+deploymentVariable+" names one too")
	flags.StringSliceVar(&a.override.Operators, "operator", nil, "operators' address of an entry host; may be given more than once")
	flags.StringSliceVar(&a.override.Entries, "entry", nil, "callers' address of an entry host; may be given more than once")
	flags.StringVar(&a.override.Zone, "zone", "", "availability zone whose hosts come first")
	flags.StringVar(&a.override.Team, "team", "", "team")
	flags.StringVar(&a.override.TeamKeyFile, "team-key-file", "", "file with the team's bearer key")
	flags.StringVar(&a.override.OperatorKeyFile, "operator-key-file", "", "file with the operator's bearer key")
	flags.BoolVar(&a.override.CallersTLS, "callers-tls", false, "callers' interfaces speak TLS")
	flags.BoolVar(&a.override.OperatorsTLS, "operators-tls", false, "operators' interfaces speak TLS")
	flags.StringVar(&a.override.AuthorityFile, "authority-file", "", "certificates (PEM) of the authority of the hosts' certificates")
	flags.StringVar(&a.override.CertificateFile, "certificate-file", "", "certificate (PEM) that is shown to hosts")
	flags.StringVar(&a.override.PrivateKeyFile, "private-key-file", "", "private key (PEM) of --certificate-file")
}

// loadDeployment reads the deployment file, if one is named, and applies the flags to it.
func (a *app) loadDeployment() error {
	if path := cmp.Or(a.deploymentFile, os.Getenv(deploymentVariable)); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return errors.Trace(err)
		}
		err = deploymentSchema().Decode(data, &a.deployment, func() []strictjson.Fault { return nil })
		if err != nil {
			return errors.Annotate(err, path)
		}
	}
	a.deployment.apply(a.override)
	return nil
}

// apply overrides d with the values that flags set. A flag can't turn off TLS that the file turns on.
func (d *Deployment) apply(flags Deployment) {
	if len(flags.Operators) > 0 {
		d.Operators = flags.Operators
	}
	if len(flags.Entries) > 0 {
		d.Entries = flags.Entries
	}
	for _, field := range []struct {
		to   *string
		from string
	}{
		{&d.Zone, flags.Zone},
		{&d.Team, flags.Team},
		{&d.TeamKeyFile, flags.TeamKeyFile},
		{&d.OperatorKeyFile, flags.OperatorKeyFile},
		{&d.AuthorityFile, flags.AuthorityFile},
		{&d.CertificateFile, flags.CertificateFile},
		{&d.PrivateKeyFile, flags.PrivateKeyFile},
	} {
		if field.from != "" {
			*field.to = field.from
		}
	}
	d.CallersTLS = d.CallersTLS || flags.CallersTLS
	d.OperatorsTLS = d.OperatorsTLS || flags.OperatorsTLS
}

// missingFlagError returns the error for a required value that neither a flag nor the deployment file gives.
func missingFlagError(flag string) error {
	return &StatusError{Status: ExitInvalid, Reason: "--" + flag + ": needed, by flag or in the --deployment file"}
}

func (d *Deployment) requireOperators() error {
	if len(d.Operators) == 0 {
		return missingFlagError("operator")
	}
	return nil
}

func (d *Deployment) requireTeam() error {
	if d.Team == "" {
		return missingFlagError("team")
	}
	return nil
}

// tls returns the client's TLS configuration, nil if TLS is not enabled.
func (d *Deployment) tls(enabled bool) (*tls.Config, error) {
	if !enabled {
		return nil, nil
	}
	identity, err := secure.LoadIdentity(secure.Files{
		Certificate: d.CertificateFile, PrivateKey: d.PrivateKeyFile, Authority: d.AuthorityFile,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return identity.ClientConfig(), nil
}

// readKey reads a bearer key without surrounding white space; an empty path means no key.
func readKey(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), errors.Trace(err)
}

// callersClient returns a client of the callers' interface. With retryRefused it resubmits refused requests.
func (d *Deployment) callersClient(retryRefused bool) (*client.Client, error) {
	if len(d.Entries) == 0 {
		return nil, missingFlagError("entry")
	}
	key, err := readKey(d.TeamKeyFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config, err := d.tls(d.CallersTLS)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return client.New(client.Options{
		Entries:      d.Entries,
		Zone:         d.Zone,
		Team:         d.Team,
		Key:          key,
		TLS:          config,
		RetryRefused: retryRefused,
	}), nil
}
