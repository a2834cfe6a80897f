/**
 * Tells from hosts' logs how requests ended, and what they waited for.
 *
 * Run with `npx tsx measurements/causes.ts LOG [FROM UNTIL]`. Each line of the log is a host's JSON line, behind the time in
 * seconds and the host's name where a run has put them there; FROM and UNTIL choose requests by when they arrived.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** Streams begin, and other answers come, by then where they are in time; routes' own targets are not in the logs. */
const STREAM_TARGET_MILLISECONDS = 550;
const ANSWER_TARGET_MILLISECONDS = 121;

const MILLISECONDS_PER_SECOND = 1_000;
const MOST_ROWS = 40;

interface LoggedRequest {
    arrivedAtSeconds: number;
    readonly isStream: boolean;
    readonly waitedFor: string[];
    readonly failures: string[];
    outcome: string | undefined;
    isInTime: boolean;
}

type Fields = Readonly<Record<string, unknown>>;

function textOf(value: unknown): string {
    return typeof value === "string" ? value : "";
}

function numberOf(value: unknown): number | undefined {
    return typeof value === "number" ? value : undefined;
}

function noteEnd(request: LoggedRequest, fields: Fields, seconds: number): void {
    const took = numberOf(fields["tookMilliseconds"]) ?? 0;
    const firstByte = numberOf(fields["firstByteMilliseconds"]) ?? took;
    request.outcome = textOf(fields["outcome"]);
    request.arrivedAtSeconds = seconds - took / MILLISECONDS_PER_SECOND;
    request.isInTime = firstByte <= (request.isStream ? STREAM_TARGET_MILLISECONDS : ANSWER_TARGET_MILLISECONDS);
}

/** Takes one line of a host's log. */
function takeLine(line: string, requests: Map<string, LoggedRequest>): void {
    const begin = line.indexOf("{");
    const [seconds = "0", host = ""] = line.slice(0, Math.max(0, begin)).trim().split(/\s+/);
    let fields: Fields;
    try {
        fields = JSON.parse(line.slice(begin)) as Fields;
    }
    catch {
        return;
    }
    const identifier = textOf(fields["request"]);
    if (identifier === "") {
        return;
    }
    const at = Number(seconds) || 0;
    const key = `${host} ${identifier}`;
    const known = requests.get(key);
    const request = known ?? {
        arrivedAtSeconds: at,
        isStream: fields["model"] !== undefined,
        waitedFor: [],
        failures: [],
        outcome: undefined,
        isInTime: false,
    };
    requests.set(key, request);
    switch (fields["message"]) {
        case "request waits":
            request.waitedFor.push(textOf(fields["reason"]));
            break;
        case "attempt failed":
            request.failures.push(textOf(fields["reason"]));
            break;
        case "request ended":
            noteEnd(request, fields, at);
    }
}

function describe({ failures, isInTime, isStream, outcome, waitedFor }: LoggedRequest): string {
    const answered = isInTime ? "in time" : "late";
    return [
        isStream ? "stream" : "other",
        outcome === "answered" ? answered : outcome ?? "no end (the host was killed)",
        [...new Set(waitedFor)].join(", "),
        failures.join(", "),
    ].join(" | ");
}

const [file, from = "-Infinity", until = "Infinity"] = process.argv.slice(2);
if (file === undefined) {
    console.error("usage: npx tsx measurements/causes.ts LOG [FROM UNTIL]");
    process.exit(1);
}
const requests = new Map<string, LoggedRequest>();
for await (const line of createInterface({ input: createReadStream(file) })) {
    takeLine(line, requests);
}
const rows = new Map<string, number>();
for (const request of requests.values()) {
    if (request.arrivedAtSeconds >= Number(from) && request.arrivedAtSeconds < Number(until)) {
        const row = describe(request);
        rows.set(row, (rows.get(row) ?? 0) + 1);
    }
}
console.log("| requests | kind | end | waited for | failed tries |\n|---|---|---|---|---|");
for (const [row, count] of [...rows].sort(([, left], [, right]) => right - left).slice(0, MOST_ROWS)) {
    console.log(`| ${count} | ${row} |`);
}
