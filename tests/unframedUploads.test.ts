/**
 * Answers without a length or chunks to uploads that are still being written: what a reset cuts off is not complete.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type CallerAnswer } from "./support/entrySite.js";
import { type ArrivedUpload, renderSuccess, startUploadingSite, type UploadingSite } from "./support/uploadingSite.js";

const UPLOAD_BYTES = 4 * 1024 * 1024;

/** Uploads at once, and how many times in a row. */
const UPLOADS = 10;
const ROUNDS = 4;

const WHOLE_ANSWER = "a".repeat(3_000);
const SENT_PART = WHOLE_ANSWER.slice(0, 1_200);

/** More than a host buffers of one answer. */
const LONG_ANSWER_PIECE = "l".repeat(1024 * 1024);
const LONG_ANSWER_PIECES = 24;

const EVENTS = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";

const EARLY_READ_BYTES = 64 * 1024;

/** Time for what was sent before a reset to arrive. */
const SHORT_DELAY_MILLISECONDS = 2;
const OLD_VERSION_DELAY_MILLISECONDS = 5;

let site: UploadingSite;

/** When the engine resets a connection on which it has sent a part of an answer. */
const RESETS: Readonly<Record<string, (upload: ArrivedUpload) => Promise<void>>> = {
    "at once, the body not read": upload => {
        upload.socket.pause();
        return sendPartAndReset(upload);
    },
    "at once, the body being read": upload => sendPartAndReset(upload),
    "after a moment, the body not read": upload => {
        upload.socket.pause();
        return sendPartAndReset(upload, { afterMilliseconds: SHORT_DELAY_MILLISECONDS });
    },
    "after a moment, the body being read": upload =>
        sendPartAndReset(upload, { afterMilliseconds: SHORT_DELAY_MILLISECONDS }),
    "once the beginning of the body was read": async upload => {
        await upload.read(EARLY_READ_BYTES);
        await sendPartAndReset(upload);
    },
    "once the whole body was read": async upload => {
        await upload.read(upload.bodyBytes);
        await sendPartAndReset(upload);
    },
    "after a moment, in an answer of HTTP/1.0": upload =>
        sendPartAndReset(upload, { afterMilliseconds: OLD_VERSION_DELAY_MILLISECONDS, version: "1.0" }),
};

interface CutAnswer {
    /** Time until the reset; it comes at once without it. */
    readonly afterMilliseconds?: number;
    readonly part?: string;
    readonly version?: string;
}

async function sendPartAndReset(
    { id, socket }: ArrivedUpload,
    { afterMilliseconds, part = SENT_PART, version }: CutAnswer = {},
): Promise<void> {
    socket.write(renderSuccess(id, version) + part);
    if (afterMilliseconds !== undefined) {
        await delay(afterMilliseconds);
    }
    socket.resetAndDestroy();
}

/** Returns the answers that their callers take for whole successes. */
function wholeSuccesses(answers: readonly CallerAnswer[]): readonly string[] {
    return answers.filter(({ isComplete, status }) => isComplete && status === 200).map(describe);
}

function describe({ body, isComplete, status }: CallerAnswer): string {
    return `${status ?? "none"} ${isComplete ? "complete" : "cut"} ${status === 200 ? body.length : ""}`.trim();
}

function countBy(values: readonly string[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const value of values) {
        counts[value] = (counts[value] ?? 0) + 1;
    }
    return counts;
}

before(async () => {
    site = await startUploadingSite(UPLOAD_BYTES);
});

after(() => site.close());

for (const [name, answer] of Object.entries(RESETS)) {
    test(`no part of an unframed answer that was reset ${name} reaches the caller of an upload as complete`, async context => {
        site.answer = answer;
        const answers: CallerAnswer[] = [];
        for (let round = 0; round < ROUNDS; round += 1) {
            const options = { count: UPLOADS, bytes: UPLOAD_BYTES };
            answers.push(...await site.uploadSideBySide(["/reads/1", "/orders/1"], options));
        }
        context.diagnostic(JSON.stringify(countBy(answers.map(describe))));
        assert.deepEqual(wholeSuccesses(answers), []);
    });
}

test("a stream without chunks that is reset between events within an upload does not look complete", async () => {
    site.answer = upload => sendPartAndReset(upload, { afterMilliseconds: SHORT_DELAY_MILLISECONDS, part: EVENTS });
    const answers = await site.uploadSideBySide(["/once/1"], { count: UPLOADS, bytes: UPLOAD_BYTES });
    assert.deepEqual(wholeSuccesses(answers), []);
});

test("a long unframed answer that is passed on and reset within an upload does not look complete", async context => {
    site.answer = async ({ id, socket }) => {
        socket.pause();
        socket.write(renderSuccess(id));
        for (let piece = 0; piece < LONG_ANSWER_PIECES; piece += 1) {
            await new Promise(resolve => socket.write(LONG_ANSWER_PIECE, resolve));
        }
        await delay(SHORT_DELAY_MILLISECONDS);
        socket.resetAndDestroy();
    };
    const answers = await site.uploadSideBySide(["/orders/1"], { count: UPLOADS / 2, bytes: UPLOAD_BYTES });
    context.diagnostic(JSON.stringify(countBy(answers.map(describe))));
    assert.deepEqual(wholeSuccesses(answers), []);
});

test("an unframed answer that ends in order within an upload is whole, and its engine gets the whole upload", async () => {
    const received: Promise<number>[] = [];
    site.answer = upload => {
        upload.socket.end(renderSuccess(upload.id) + WHOLE_ANSWER);
        received.push(upload.read(upload.bodyBytes).then(() => upload.readBytes()));
    };
    const options = { count: UPLOADS, bytes: UPLOAD_BYTES };
    const answers = await site.uploadSideBySide(["/reads/1", "/orders/1"], options);
    assert.deepEqual(countBy(answers.map(describe)), { [`200 complete ${WHOLE_ANSWER.length}`]: UPLOADS });
    assert.equal(received.length, UPLOADS);
    assert.ok((await Promise.all(received)).every(byteCount => byteCount >= UPLOAD_BYTES));
});

test("answers that were reset are named in the log", () => {
    assert.match(site.program.output(), /"answer broken".*"reset-at-end"|"reset-at-end".*"answer broken"/);
});
