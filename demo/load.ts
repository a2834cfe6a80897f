/**
 * Sends requests to a site and records the outcome of each.
 *
 * @module
 */
import { request } from "undici";
import { type AddressesAnswer } from "../src/generated/callers.js";

/** Outcome of one request. */
export interface Observation {
    readonly kind: "urgent" | "patient" | "order" | "idempotent-call";
    readonly outcome: "answered" | "refused";
    /** Reason of a refusal; `undefined` for an answer. */
    readonly reason: string | undefined;
    readonly ran: string | undefined;
    readonly firstTokenMilliseconds: number | undefined;
    readonly host: string;
}

/** Reads the addresses that a host advertises to callers of a zone. */
export async function readAddresses(hostUrl: string, zone: string): Promise<AddressesAnswer> {
    const answer = await request(`${hostUrl}/v1/addresses?zone=${zone}`);
    return await answer.body.json() as AddressesAnswer;
}

interface RefusalBody {
    readonly error?: { readonly reason?: string; readonly ran?: string; };
}

function refusedObservation(kind: Observation["kind"], host: string, body: RefusalBody): Observation {
    return {
        kind,
        outcome: "refused",
        reason: body.error?.reason ?? "unknown",
        ran: body.error?.ran,
        firstTokenMilliseconds: undefined,
        host,
    };
}

/** Options of `sendChat`. */
export interface ChatOptions {
    readonly model: string;
    readonly class: "urgent" | "patient";
    readonly prompt: string;
}

/** Sends one streamed chat request and reads the answer to its end. */
export async function sendChat(hostUrl: string, options: ChatOptions): Promise<Observation> {
    const startedAt = performance.now();
    const body = {
        model: options.model,
        messages: [{ role: "system", content: "Answer briefly." }, { role: "user", content: options.prompt }],
        stream: true,
        service_tier: options.class,
    };
    const answer = await request(`${hostUrl}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    if (answer.statusCode !== 200) {
        return refusedObservation(options.class, hostUrl, await answer.body.json() as RefusalBody);
    }
    return await readStream(answer.body, { kind: options.class, host: hostUrl, startedAt });
}

async function readStream(
    body: AsyncIterable<Buffer>,
    context: { readonly kind: Observation["kind"]; readonly host: string; readonly startedAt: number; },
): Promise<Observation> {
    let text = "";
    let firstTokenMilliseconds: number | undefined;
    for await (const part of body) {
        text += part.toString("utf8");
        if (firstTokenMilliseconds === undefined && text.includes("data: ")) {
            firstTokenMilliseconds = performance.now() - context.startedAt;
        }
    }
    if (text.includes("data: [DONE]")) {
        return {
            kind: context.kind,
            outcome: "answered",
            reason: undefined,
            ran: undefined,
            firstTokenMilliseconds,
            host: context.host,
        };
    }
    const refusal = text.split("\n").reverse().find(line => line.includes("\"error\""))?.replace(/^data: /, "");
    return refusedObservation(context.kind, context.host, JSON.parse(refusal ?? "{}") as RefusalBody);
}

/** Options of `sendCall`. */
export interface CallOptions {
    readonly service: string;
    readonly call: string;
    /** Idempotency key of an order; missing for an idempotent call. */
    readonly key?: string;
    readonly body: string;
}

/** Sends one call of a plain service. */
export async function sendCall(hostUrl: string, options: CallOptions): Promise<Observation> {
    const kind = options.key === undefined ? "idempotent-call" : "order";
    const answer = await request(`${hostUrl}/v1/services/${options.service}/${options.call}`, {
        method: "POST",
        headers: {
            "content-type": "application/json",
            ...(options.key === undefined ? {} : { "idempotency-key": options.key }),
        },
        body: options.body,
    });
    if (answer.statusCode !== 200) {
        return refusedObservation(kind, hostUrl, await answer.body.json() as RefusalBody);
    }
    await answer.body.text();
    return {
        kind,
        outcome: "answered",
        reason: undefined,
        ran: undefined,
        firstTokenMilliseconds: undefined,
        host: hostUrl,
    };
}
