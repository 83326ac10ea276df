"""Steps that run the examples of the documentation."""

import os
import re
import subprocess
from pathlib import Path

from behave import then

EXAMPLE = re.compile(r"```sh\n# (\d+)\n(curl .*?)```", re.DOTALL)
TIMEOUT_S = 10.0


@then('each example of "{path}" gives its status')
def step_examples(context, path):
    examples = EXAMPLE.findall(Path(path).read_text())
    assert len(examples) > 5, examples
    entry = f"http://127.0.0.1:{context.daemon.callers_port}"
    environment = {**os.environ, "ENTRY": entry, "KEY": context.key}
    for status, command in examples:
        line = command.replace("curl", "curl -sS -o /dev/null -w '%{http_code}'", 1)
        done = subprocess.run(
            ["/bin/sh", "-c", line],
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        assert done.stdout == status, (command, done.stdout, done.stderr)
