package settings

import (
	"carobshunt/internal/strictjson"
)

// Security names the files with keys and certificates. They are read at startup and again when they change.
type Security struct {
	// AuthorityFile holds the CA certificates that verify other entry hosts.
	AuthorityFile string `json:"authority_file,omitempty" jsonschema:"description=certificates (PEM) of the authority that signs entry hosts' certificates"`
	// Callers secures the callers' interface.
	Callers Interface `json:"callers,omitzero"`
	// Operators secures the operators' interface.
	Operators OperatorInterface `json:"operators,omitzero"`
	// Peers secures the interface between entry hosts by mutual TLS, with certificates signed by AuthorityFile.
	Peers Certificate `json:"peers,omitzero"`
}

// Certificate names the files of a certificate and its private key.
type Certificate struct {
	CertificateFile string `json:"certificate_file,omitempty" jsonschema:"description=certificate (PEM) that this process shows; turns TLS on"`
	PrivateKeyFile  string `json:"private_key_file,omitempty" jsonschema:"description=private key (PEM) of certificate_file"`
}

// Enabled reports whether the interface uses TLS.
func (c Certificate) Enabled() bool { return c.CertificateFile != "" }

// Interface secures an interface that is open to clients other than entry hosts.
type Interface struct {
	Certificate
	// ClientAuthorityFile holds the CA certificates that verify clients; without it, clients need no certificate.
	ClientAuthorityFile string `json:"client_authority_file,omitempty" jsonschema:"description=certificates (PEM) of the authority whose clients may connect; without it clients show none"`
}

// OperatorInterface is an Interface with bearer keys.
type OperatorInterface struct {
	Interface
	// KeysFile holds the SHA-256 digests of the operators' bearer keys; without it, no key is required.
	KeysFile string `json:"keys_file,omitempty" jsonschema:"description=SHA-256 digests of the operators' bearer keys in hexadecimal one a line; without it no key is asked for"`
}

// faults reports settings that need each other and of which one is missing.
func (s Security) faults() []strictjson.Fault {
	var faults []strictjson.Fault
	checkPair := func(path string, c Certificate) {
		if (c.CertificateFile == "") != (c.PrivateKeyFile == "") {
			faults = append(faults, strictjson.Fault{Path: path, Reason: "certificate_file and private_key_file must stand together"})
		}
	}
	checkPair("/security/callers", s.Callers.Certificate)
	checkPair("/security/operators", s.Operators.Certificate)
	checkPair("/security/peers", s.Peers)
	checkClient := func(path string, i Interface) {
		if i.ClientAuthorityFile != "" && !i.Enabled() {
			faults = append(faults, strictjson.Fault{Path: path + "/client_authority_file", Reason: "needs certificate_file"})
		}
	}
	checkClient("/security/callers", s.Callers)
	checkClient("/security/operators", s.Operators.Interface)
	if (s.Peers.Enabled() || s.Callers.Enabled()) && s.AuthorityFile == "" {
		faults = append(faults, strictjson.Fault{Path: "/security/authority_file", Reason: "needed where callers or peers use TLS"})
	}
	return faults
}
