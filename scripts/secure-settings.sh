#!/usr/bin/env bash
# Secures the demo's settings in a directory: an authority, a certificate for each entry host, a key for the team and one
# for operators. docs/OPERATIONS.md, "Keys and certificates", explains each step.
set -euo pipefail
dir=$1 # holds host1.json to host4.json, config.json and carobctl.json
net=$2 # the first half of the hosts' addresses
cd "$dir"

openssl req -x509 -newkey ed25519 -nodes -days 30 -subj /CN=authority -keyout authority.key -out authority.pem 2>/dev/null
for i in 1 2 3 4; do
  openssl req -newkey ed25519 -nodes -subj "/CN=host$i" -keyout "host$i.key" -out "host$i.csr" 2>/dev/null
  openssl x509 -req -in "host$i.csr" -CA authority.pem -CAkey authority.key -days 30 \
    -extfile <(echo "subjectAltName=IP:$net.1.$i") -out "host$i.pem" 2>/dev/null
done
openssl rand -hex 32 >team.key
openssl rand -hex 32 >operator.key
digest() { tr -d '\n' <"$1" | sha256sum | cut -d ' ' -f 1; }
digest operator.key >operators

for i in 1 2 3 4; do
  pair="\"certificate_file\": \"$dir/host$i.pem\", \"private_key_file\": \"$dir/host$i.key\""
  security="{\"authority_file\": \"$dir/authority.pem\", \"callers\": {$pair}, \"peers\": {$pair},"
  security="$security \"operators\": {$pair, \"keys_file\": \"$dir/operators\"}}"
  sed -i "s#^  \"listen\"#  \"security\": $security,\n&#" "host$i.json"
done
sed -i "s#\"name\": \"desk\",#& \"key_sha256\": \"$(digest team.key)\",#" config.json
tls='"callers_tls": true, "operators_tls": true'
files="\"authority_file\": \"$dir/authority.pem\", \"team_key_file\": \"$dir/team.key\""
sed -i "s#^  \"team\"#  $tls, $files, \"operator_key_file\": \"$dir/operator.key\",\n&#" carobctl.json
