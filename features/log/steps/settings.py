"""Steps on the settings of a cluster."""

from behave import then, when

from mulberryledge_daemon.peer_checks import peer_faults

TLS = {"certificate": __file__, "private_key": __file__, "authority": __file__}


def good():
    peer = {"name": "v1", "address": "10.0.0.1", "port": 7_000, "voter": True}
    return {
        "daemon": {"name": "e1"},
        "listen": {"peers_port": 7_001},
        "peers": [peer],
        "tls": dict(TLS),
    }


CHANGES = {
    "nothing wrong": lambda plain: None,
    "no peers port": lambda plain: plain["listen"].clear(),
    "no voter": lambda plain: plain["peers"][0].pop("voter"),
    "its own name as a peer": lambda plain: plain["peers"][0].update(name="e1"),
    "a host name": lambda plain: plain["peers"][0].update(address="nizwa.example"),
    "port zero": lambda plain: plain["peers"][0].update(port=0),
    "a certificate only": lambda plain: plain.update(tls={"certificate": __file__}),
    "a missing file": lambda plain: plain["tls"].update(authority="gone.pem"),
}


@when("settings with {change} are checked")
def step_check(context, change):
    plain = good()
    CHANGES[change](plain)
    context.faults = list(peer_faults(plain))


@then('the fault is at "{place}" and says "{problem}"')
def step_fault(context, place, problem):
    found = {fault.place: fault.problem for fault in context.faults}
    assert problem in found.get(place, ""), found


@then("there is no fault")
def step_none(context):
    assert not context.faults, context.faults
