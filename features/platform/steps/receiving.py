"""Steps on the requests that a service receives."""

import tempfile
import time

from behave import given, when

SEGMENT_GAP_S = 0.02
POST = b"POST /x HTTP/1.1\r\nHost: example\r\n"


@given("no folder for temporary files")
def no_temporary_files(context):
    context.scenario_stack.callback(setattr, tempfile, "tempdir", tempfile.tempdir)
    tempfile.tempdir = "/nonexistent"


@when("a caller sends a body of 200,000 bytes")
def send_large_body(context):
    body = b"x" * 200_000
    context.caller.sendall(POST + b"Content-Length: 200000\r\n\r\n" + body)


@when("a caller sends a body in chunks")
def send_chunks(context):
    chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    context.caller.sendall(POST + chunks)


@when("a caller sends a {header} that is no UTF-8")
def send_header(context, header):
    line = header.encode() + b": \xff\xfe\r\n"
    host = b"" if header == "Host" else b"Host: example\r\n"
    context.caller.sendall(b"GET /x HTTP/1.1\r\n" + host + line + b"\r\n")


@when("a caller sends a request in HTTP/1.0")
def send_old_version(context):
    context.caller.sendall(b"GET /x HTTP/1.0\r\nHost: example\r\n\r\n")


@when("a caller sends a body after it was told to go on")
def send_expecting(context):
    head = b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    context.caller.sendall(POST + head)
    told = context.caller.recv(1_000)
    assert told == b"HTTP/1.1 100 Continue\r\n\r\n", told
    context.caller.sendall(b"abc")


@when("a caller sends a body in ten segments")
def send_segments(context):
    context.caller.sendall(POST + b"Content-Length: 10\r\n\r\n")
    for number in range(10):
        time.sleep(SEGMENT_GAP_S)
        context.caller.sendall(b"%d" % number)
