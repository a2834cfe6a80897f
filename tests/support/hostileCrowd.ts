/**
 * Crowds of callers that send far ahead, in very small parts or in very many fields, and read no answers.
 *
 * @module
 */
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { readdirSync, readFileSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { type Socket } from "node:net";
import { type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BundledProgram } from "./bundledProgram.js";
import { HOST_NAME, until } from "./entrySite.js";
import { type PortName, type SmallHost, startSmallHost } from "./smallMachine.js";

/** Path that each port answers with status 200. */
export const KNOWN_PATH: Readonly<Record<PortName, string>> = {
    callers: "/orders/1",
    directory: "/resolve",
    metrics: "/metrics",
    readiness: "/ready",
    state: "/state",
};

const CROWD_MILLISECONDS = 4_000;
const ORDINARY_MILLISECONDS = 20_000;
const ANSWER_MILLISECONDS = 10_000;
const LEFT_MILLISECONDS = 1_500;
const ANSWERS_AFTER_MILLISECONDS = 100;

/** Connections that the configuration lets a host keep to its upstream. */
const UPSTREAM_CONNECTIONS = 400;

/** Descriptors that a host may have beside those of the crowd's and of the upstream's connections. */
const OTHER_DESCRIPTORS = 60;

/** Connections at a host's ports that may be left once a crowd has left. */
const LEFT_CONNECTIONS = 5;

/** States of connections that a process holds open, from the kernel's list. */
const OPEN_STATES: readonly (string | undefined)[] = ["01", "08"];

/** Fields of seven bytes, which with the other ones stay below the limit of 16,384 bytes. */
const FIELDS = 2_280;
const FIELD_NAME_LENGTH = 3;

const MODEL_CHARACTERS = 15_000;

/** Equal callers, of which each opens one connection. */
export interface CrowdPart {
    readonly connections: number;
    readonly port: PortName;
    /** What each sends; identifiers of requests begin with the given text. */
    readonly pieces: (id: string) => readonly Buffer[];
    /** Time between two pieces; all are sent at once by default. */
    readonly paceMilliseconds?: number;
}

function renderHead(method: string, path: string, id: string): string {
    return `${method} ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n`;
}

function joinTexts(count: number, render: (index: number) => string): Buffer {
    return Buffer.from(Array.from({ length: count }, (_, index) => render(index)).join(""));
}

/** Renders pipelined requests of about 100 bytes each. */
export function pipelined(path: string, requests: number, id: string): Buffer {
    return joinTexts(requests, index => `${renderHead("GET", path, `${id}-${index}`)}\r\n`);
}

/** Renders a request whose body comes in equal chunks and does not end. */
export function openChunks(path: string, chunks: number, id: string, chunkBytes = 1): Buffer {
    const chunk = `${chunkBytes.toString(16)}\r\n${"y".repeat(chunkBytes)}\r\n`;
    return Buffer.from(`${renderHead("POST", path, id)}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunks)}`);
}

function renderFields(): string {
    return joinTexts(FIELDS, index => `${index.toString(36).padStart(FIELD_NAME_LENGTH, "f")}:1\r\n`).toString();
}

/** Renders pipelined requests of about 16 KB in fields of a few bytes. */
export function manyFields(path: string, requests: number, id: string): Buffer {
    const text = renderFields();
    return joinTexts(requests, index => `${renderHead("GET", path, `${id}-${index}`)}${text}\r\n`);
}

/** Renders the head of a request in fields of a few bytes, without its end, behind a whole request. */
export function unfinishedHead(path: string, id: string): Buffer {
    return Buffer.from(
        `${renderHead("GET", path, `${id}-whole`)}\r\n${renderHead("GET", path, id)}${renderFields()}`,
    );
}

/**
 * Renders a request whose body in chunks ends with trailers in fields of a few bytes, without their end.
 *
 * @param extension Stands behind the size of the last chunk.
 */
export function unfinishedTrailers(path: string, id: string, extension = ""): Buffer {
    return Buffer.from(
        `${renderHead("POST", path, id)}Transfer-Encoding: chunked\r\n\r\n1\r\ny\r\n0${extension}\r\n${renderFields()}`,
    );
}

/** Renders pipelined requests of about 15 KB, each for another model. */
export function manyModels(path: string, requests: number, id: string): Buffer {
    return joinTexts(requests, index => {
        const model = `${id}-${index}`.padEnd(MODEL_CHARACTERS, "m");
        return `${renderHead("GET", path, `${id}-${index}`)}Flamingospread-Model: ${model}\r\n`
            + "Flamingospread-Token-Count: 543,280\r\nFlamingospread-Deadline-Ms: 1000\r\n\r\n";
    });
}

/** Renders a request whose body of a stated length lacks its last byte. */
export function shortBody(path: string, lengthBytes: number, id: string): Buffer {
    const head = `${renderHead("POST", path, id)}Content-Length: ${lengthBytes}\r\n\r\n`;
    return Buffer.concat([Buffer.from(head), Buffer.alloc(lengthBytes - 1, "y")]);
}

function countDescriptors(processId: number | undefined): number {
    return readdirSync(`/proc/${processId ?? 0}/fd`).length;
}

/** Counts the connections that a host has accepted and not closed; the kernel lists each by its local port. */
function countAccepted({ ports }: SmallHost): number {
    const own = new Set(Object.values(ports).map(port => port.toString(16).toUpperCase().padStart(4, "0")));
    const lines = readFileSync("/proc/net/tcp", "latin1").trim().split("\n").map(line => line.trim().split(/\s+/));
    return lines.filter(([, local, , state]) => own.has(local?.split(":")[1] ?? "") && OPEN_STATES.includes(state))
        .length;
}

/** Sends a part's pieces; connections that the host closes are left closed. */
async function sendPart(
    host: SmallHost,
    name: string,
    { connections, paceMilliseconds = 0, pieces, port }: CrowdPart,
): Promise<Socket[]> {
    const callers = Array.from({ length: connections }, (_, index) => ({
        socket: host.connect(port).pause(),
        pieces: pieces(`${name}-${index}`),
    }));
    const sockets = callers.map(({ socket }) => socket);
    const rounds = Math.max(0, ...callers.map(caller => caller.pieces.length));
    for (let round = 0; round < rounds; round += 1) {
        for (const { socket, pieces: own } of callers) {
            const piece = own[round];
            if (piece !== undefined && !socket.destroyed) {
                socket.write(piece);
            }
        }
        await delay(paceMilliseconds);
    }
    return sockets;
}

/** Returns the status of one request on a connection of its own; `undefined` where it has no answer. */
function callOnce(host: SmallHost, port: PortName): Promise<number | undefined> {
    return new Promise(resolve => {
        const request = sendRequest({
            host: "127.0.0.1",
            port: host.ports[port],
            path: KNOWN_PATH[port],
            headers: { "Host": HOST_NAME, "Flamingospread-Request-Id": randomUUID() },
            agent: false,
            timeout: ANSWER_MILLISECONDS,
        }, answer => {
            answer.resume();
            answer.on("end", () => resolve(answer.statusCode));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(undefined));
        request.on("close", () => resolve(undefined));
        request.end();
    });
}

/**
 * Lets a crowd come to a host on the smallest machine, and fails where the process ends, takes more memory than the
 * machine has or more descriptors than the crowd explains, or where an ordinary request is not answered: repeated where
 * it is refused while the crowd stays, and the first one after the crowd has left.
 */
export async function holdCrowd(
    context: TestContext,
    bundled: BundledProgram,
    parts: readonly CrowdPart[],
): Promise<void> {
    const host = await startSmallHost(context, bundled, { answersAfterMilliseconds: ANSWERS_AFTER_MILLISECONDS });
    const descriptorsBefore = countDescriptors(host.program.child.pid);
    const sent = parts.map((part, index) => sendPart(host, `crowd-${index}`, part));
    await delay(CROWD_MILLISECONDS);
    const sockets = (await Promise.all(sent)).flat();
    host.assertWithinMachine();
    const otherDescriptors = descriptorsBefore + UPSTREAM_CONNECTIONS + OTHER_DESCRIPTORS;
    assert.ok(countDescriptors(host.program.child.pid) <= otherDescriptors + sockets.length);
    const ports = new Set<PortName>(["callers", ...parts.map(({ port }) => port)]);
    for (const port of ports) {
        await until(async () => await callOnce(host, port) === 200, ORDINARY_MILLISECONDS);
    }
    sockets.forEach(socket => socket.destroy());
    await delay(LEFT_MILLISECONDS);
    for (const port of ports) {
        assert.equal(await callOnce(host, port), 200, port);
    }
    assert.ok(countDescriptors(host.program.child.pid) <= otherDescriptors);
    assert.ok(countAccepted(host) <= LEFT_CONNECTIONS, `${countAccepted(host)} connections are left`);
    host.assertWithinMachine();
}
