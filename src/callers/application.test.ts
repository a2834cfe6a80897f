import { Hono } from "hono";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Refusal } from "../generated/callers.js";
import { type Deployment, deploymentSchema } from "../generated/deployment.js";
import { type OrderOutcome } from "../generated/peers.js";
import { limitsSchema } from "../generated/settings.js";
import {
    type AnswerSink,
    type CallerHandlers,
    createCallersApplication,
    createRefusal,
    type ParsedChatRequest,
} from "./index.js";

const BODY_LIMIT_BYTES = 2048;

const deployment: Deployment = deploymentSchema.parse({
    deployment: "mill",
    zones: [{ name: "west-1", region: "west" }],
    weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
    pools: [{
        name: "pool",
        checksFencing: true,
        memoryMegabytes: 10,
        slots: 1,
        engines: [{ name: "engine-1", url: "http://127.0.0.1:1", zone: "west-1" }],
    }],
    models: [{ name: "quotes", version: "1", megabytes: 1, pools: ["pool"], class: "patient" }],
    adapters: [{ name: "bakery", model: "quotes", megabytes: 1 }],
});

class FakeHandlers implements CallerHandlers {
    readonly refusalReasons: string[] = [];
    submitted: { readonly request: ParsedChatRequest; readonly sink: AnswerSink; } | undefined;
    cancelled = 0;
    inForce: Deployment | undefined = deployment;
    closed: Refusal | undefined;
    orderOutcome: OrderOutcome = { type: "answered", result: { status: 201, contentType: "text/plain", body: "cut" } };
    onSubmit: (sink: AnswerSink) => void = () => undefined;

    deployment = () => this.inForce;
    newWorkRefusal = () => this.closed;
    addresses = () => ({
        keepMilliseconds: 1000,
        addresses: [{ url: "http://127.0.0.1:1", zone: "west-1", ticket: "t" }],
    });
    status = () => ({ openRequests: 0 });
    drain = () => undefined;
    createIdentifier = () => "r-1";
    recordRefusal = (refusal: Refusal) => void this.refusalReasons.push(refusal.reason);

    submit(request: ParsedChatRequest, sink: AnswerSink) {
        this.submitted = { request, sink };
        this.onSubmit(sink);
        return { cancel: () => void (this.cancelled += 1) };
    }

    order(_order: unknown, onOutcome: (outcome: OrderOutcome) => void) {
        onOutcome(this.orderOutcome);
        return { cancel: () => undefined };
    }
}

function createApplication() {
    const handlers = new FakeHandlers();
    const application = createCallersApplication(handlers, limitsSchema.parse({ requestBodyBytes: BODY_LIMIT_BYTES }));
    assert.ok(application instanceof Hono);
    return { handlers, application };
}

function post(application: ReturnType<typeof createApplication>["application"], body: unknown) {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    return application.request("/v1/chat/completions", {
        method: "POST",
        body: text,
        headers: { "content-length": String(text.length) },
    });
}

function lastRequest(handlers: FakeHandlers) {
    assert.ok(handlers.submitted !== undefined);
    return handlers.submitted.request.request;
}

const chat = { model: "quotes", messages: [{ role: "user", content: "A quote, please" }] };

describe("callers' application", () => {
    const invalid: readonly (readonly [string, unknown, string, number])[] = [
        ["text that is not JSON", "{\"model\":", "invalid-request", 400],
        ["no messages", { model: "quotes", messages: [] }, "invalid-request", 400],
        ["a message without content", { model: "quotes", messages: [{ role: "user" }] }, "invalid-request", 400],
        ["an unknown model", { ...chat, model: "nothing" }, "unknown-model", 404],
        ["an unknown adapter", { ...chat, model: "quotes:nothing" }, "unknown-adapter", 404],
        ["a negative resume offset", { ...chat, resume_offset: -1 }, "invalid-request", 400],
        ["a body above the limit", { ...chat, padding: "x".repeat(BODY_LIMIT_BYTES) }, "body-too-large", 413],
    ];
    for (const [name, body, reason, status] of invalid) {
        test(`refuses ${name} as not run, and records the refusal`, async () => {
            const { handlers, application } = createApplication();
            const answer = await post(application, body);
            const { error } = await answer.json() as { error: Refusal; };
            assert.deepEqual([answer.status, error.reason, error.ran], [status, reason, "not-run"]);
            assert.deepEqual(handlers.refusalReasons, [reason]);
            assert.equal(handlers.submitted, undefined);
        });
    }

    test("refuses with a Retry-After header while no configuration is in force", async () => {
        const { handlers, application } = createApplication();
        handlers.inForce = undefined;
        const answer = await post(application, chat);
        assert.equal(answer.status, 503);
        assert.equal(answer.headers.get("retry-after"), "1");
    });

    test("refuses new requests while the host accepts none", async () => {
        const { handlers, application } = createApplication();
        handlers.closed = createRefusal("host-leaving", "leaving", { retryAfterMilliseconds: 200 });
        assert.equal((await post(application, chat)).status, 503);
        assert.equal((await application.request("/v1/health")).status, 503);
    });

    test("uses the class of the request, or else that of the model", async () => {
        const { handlers, application } = createApplication();
        handlers.onSubmit = sink => sink.finished({ finishReason: "stop", totalTokens: 0 });
        await post(application, chat);
        assert.equal(lastRequest(handlers).class, "patient");
        await post(application, { ...chat, service_tier: "urgent" });
        assert.equal(lastRequest(handlers).class, "urgent");
    });

    test("computes the same fingerprint for a retry that differs only in delivery fields", async () => {
        const { handlers, application } = createApplication();
        handlers.onSubmit = sink => sink.finished({ finishReason: "stop", totalTokens: 0 });
        await post(application, chat);
        const first = lastRequest(handlers).fingerprint;
        await post(application, { ...chat, stream: true, service_tier: "urgent" });
        assert.equal(lastRequest(handlers).fingerprint, first);
        await post(application, { ...chat, messages: [{ role: "user", content: "Another" }] });
        assert.notEqual(lastRequest(handlers).fingerprint, first);
    });

    test("streams tokens as events and ends with the end marker", async () => {
        const { handlers, application } = createApplication();
        handlers.onSubmit = sink => {
            sink.tokens({ index: 0, count: 1, text: "Good" });
            sink.tokens({ index: 1, count: 1, text: " day" });
            sink.finished({ finishReason: "stop", totalTokens: 2 });
        };
        const answer = await post(application, { ...chat, stream: true });
        assert.equal(answer.headers.get("content-type"), "text/event-stream");
        const events = (await answer.text()).trim().split("\n\n");
        assert.equal(events.length, 4);
        assert.equal(events.at(-1), "data: [DONE]");
        assert.match(events[1] ?? "", /"content":" day".*"token_index":1/);
    });

    test("ends the stream without the end marker on a refusal after the first token", async () => {
        const { handlers, application } = createApplication();
        handlers.onSubmit = sink => {
            sink.tokens({ index: 0, count: 1, text: "Good" });
            sink.refused(createRefusal("answer-incomplete", "lost", { ran: "may-have-run" }));
        };
        const text = await (await post(application, { ...chat, stream: true })).text();
        assert.match(text, /"reason":"answer-incomplete","ran":"may-have-run"/);
        assert.doesNotMatch(text, /\[DONE\]/);
    });

    test("cancels the request when its caller closes the stream", async () => {
        const { handlers, application } = createApplication();
        handlers.onSubmit = sink => sink.tokens({ index: 0, count: 1, text: "Good" });
        const answer = await post(application, { ...chat, stream: true });
        await answer.body?.cancel();
        assert.equal(handlers.cancelled, 1);
    });

    test("forwards an order's result, and renders its refusal", async () => {
        const { handlers, application } = createApplication();
        const send = () => application.request("/v1/services/line/reel-cut", { method: "POST", body: "{}" });
        const answer = await send();
        assert.deepEqual([answer.status, await answer.text()], [201, "cut"]);
        handlers.orderOutcome = { type: "refused", reason: "upstream-failed", ran: "may-have-run", message: "lost" };
        const refused = await send();
        assert.equal(refused.status, 502);
        assert.deepEqual(handlers.refusalReasons, ["upstream-failed"]);
    });

    test("answers an unknown route with a typed refusal", async () => {
        const { application } = createApplication();
        const answer = await application.request("/v2/anything");
        assert.equal((await answer.json() as { error: Refusal; }).error.reason, "invalid-request");
    });
});
