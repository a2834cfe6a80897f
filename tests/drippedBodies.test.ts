/**
 * Callers whose bodies come slowly, on the smallest machine: they do not keep others from being served.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BundledProgram, bundleProgram } from "./support/bundledProgram.js";
import { HOST_NAME, until } from "./support/entrySite.js";
import { type SmallHost, startSmallHost } from "./support/smallMachine.js";

const BODY_BYTES = 4_190_000;
const DRIP_MILLISECONDS = 500;
const DRIPPING_CALLERS = 13;

/** A part of a body that comes at once; the machine holds ten of them at most. */
const LARGE_PART_BYTES = 2_000_000;

const SMALL_REQUESTS = 25;
const SMALL_BODY_BYTES = 100_000;

const ANSWERS_AFTER_MILLISECONDS = 500;

/** Time after which a body that holds memory must have made progress. */
const NO_PROGRESS_MILLISECONDS = 2_000;

/** Callers that send their bodies at an equal pace: the machine holds five of these bodies at most. */
const PACED_CALLERS = 30;
const PIECE_BYTES = 65_536;
const PIECE_MILLISECONDS = 30;
const PACED_MILLISECONDS = 9_000;

let bundled: BundledProgram;
before(async () => {
    bundled = await bundleProgram();
});
after(() => bundled.close());

/** One connection with one request. */
interface Sending {
    readonly write: (bytes: number) => void;
    readonly answer: () => string;
}

/** Begins a request; the length of its body is stated, or it is one chunk of that length. */
function begin(host: SmallHost, id: string, bodyBytes: number, isChunked = false): Sending {
    const socket = host.connect();
    let answer = "";
    socket.on("data", (bytes: Buffer) => {
        answer += bytes.toString("latin1");
    });
    socket.write(
        `POST /orders/1 HTTP/1.1\r\nHost: ${HOST_NAME}\r\nFlamingospread-Request-Id: ${id}\r\n`
            + (isChunked
                ? `Transfer-Encoding: chunked\r\n\r\n${bodyBytes.toString(16)}\r\n`
                : `Content-Length: ${bodyBytes}\r\n\r\n`),
    );
    return {
        write: bytes => {
            if (socket.writable) {
                socket.write(Buffer.alloc(bytes, "y"));
            }
        },
        answer: () => answer,
    };
}

function statusOf({ answer }: Sending): string {
    return answer().slice(9, 12);
}

function assertNotRun({ answer }: Sending): void {
    assert.match(answer(), /^HTTP\/1\.1 503 [^]*"reason":"no-room-for-bodies","ran":"not-run"/);
    assert.match(answer(), /retry-after: /i);
}

/** Sends small requests at once; returns the statuses of their answers. */
async function sendSmall(host: SmallHost): Promise<string[]> {
    const sendings = Array.from(
        { length: SMALL_REQUESTS },
        (_, index) => begin(host, `small-${index}`, SMALL_BODY_BYTES),
    );
    sendings.forEach(({ write }) => write(SMALL_BODY_BYTES));
    await until(() => sendings.every(({ answer }) => answer() !== ""));
    return sendings.map(statusOf);
}

const ALL_SERVED = Array.from({ length: SMALL_REQUESTS }, () => "200");

/** Sends a byte of each body at intervals. */
function drip(sendings: readonly Sending[]): NodeJS.Timeout {
    return setInterval(() => sendings.forEach(({ write }) => write(1)), DRIP_MILLISECONDS);
}

// Guards against a host that reserves all that a head states, whatever comes of it.
test("13 callers that send large bodies byte by byte do not have small requests refused", async context => {
    const host = await startSmallHost(context, bundled, { answersAfterMilliseconds: ANSWERS_AFTER_MILLISECONDS });
    const sendings = Array.from({ length: DRIPPING_CALLERS }, (_, index) => begin(host, `drip-${index}`, BODY_BYTES));
    const timer = drip(sendings);
    context.after(() => clearInterval(timer));
    await delay(DRIP_MILLISECONDS);
    const statuses = await sendSmall(host);
    context.diagnostic(`${statuses.filter(status => status === "200").length} of ${SMALL_REQUESTS} served`);
    assert.deepEqual(statuses, ALL_SERVED);
    host.assertWithinMachine();
});

test("13 callers that send half of a large body and then byte by byte do not have small requests refused", async context => {
    const host = await startSmallHost(context, bundled, { answersAfterMilliseconds: ANSWERS_AFTER_MILLISECONDS });
    const sendings = Array.from(
        { length: DRIPPING_CALLERS },
        (_, index) => begin(host, `drip-${index}`, BODY_BYTES, true),
    );
    sendings.forEach(({ write }) => write(LARGE_PART_BYTES));
    const timer = drip(sendings);
    context.after(() => clearInterval(timer));
    await delay(NO_PROGRESS_MILLISECONDS);
    assert.deepEqual(await sendSmall(host), ALL_SERVED);
    const large = begin(host, "large", BODY_BYTES);
    large.write(BODY_BYTES);
    await until(() => large.answer() !== "");
    assert.equal(statusOf(large), "200", "bodies that come are not refused for those that do not");
    await until(() => sendings.some(({ answer }) => answer() !== ""));
    sendings.filter(({ answer }) => answer() !== "").forEach(assertNotRun);
    host.assertWithinMachine();
});

// Guards against a host whose bodies each hold a part of its memory and wait for the rest.
test("bodies that come at an equal pace and do not fit together are all answered or refused in time", async context => {
    const host = await startSmallHost(context, bundled, { answersAfterMilliseconds: ANSWERS_AFTER_MILLISECONDS });
    const sendings = Array.from({ length: PACED_CALLERS }, (_, index) => begin(host, `paced-${index}`, BODY_BYTES));
    let leftBytes = BODY_BYTES;
    const timer = setInterval(() => {
        const bytes = Math.min(leftBytes, PIECE_BYTES);
        leftBytes -= bytes;
        if (bytes > 0) {
            sendings.forEach(({ write }) => write(bytes));
        }
    }, PIECE_MILLISECONDS);
    context.after(() => clearInterval(timer));
    await until(() => sendings.every(({ answer }) => answer() !== ""), PACED_MILLISECONDS);
    const served = sendings.filter(sending => statusOf(sending) === "200");
    context.diagnostic(`${served.length} of ${PACED_CALLERS} served`);
    assert.ok(served.length > 0);
    sendings.filter(sending => !served.includes(sending)).forEach(assertNotRun);
    host.assertWithinMachine();
});
