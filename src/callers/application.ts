/**
 * Routes of the HTTP API for callers and operators.
 *
 * @module
 */
import { type HttpBindings } from "@hono/node-server";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { type Refusal } from "../generated/callers.js";
import { type OrderOutcome } from "../generated/peers.js";
import { type Limits } from "../generated/settings.js";
import { answerChatRequest } from "./chatCompletions.js";
import { parseChatRequest } from "./chatRequest.js";
import { createRefusal, renderRefusal } from "./refusals.js";
import { type CallerHandlers } from "./types.js";

const CONFIGURATION_RETRY_MILLISECONDS = 1000;

type Application = Hono<{ Bindings: HttpBindings; }>;

/**
 * Creates the application that answers callers and operators.
 *
 * @param handlers The handlers of the requests.
 * @param limits Limits on body sizes and slow callers.
 *
 * @example
 * ```ts
 * const application = createCallersApplication(handlers, limits);
 * const response = await application.request("/v1/health");
 * ```
 */
export function createCallersApplication(handlers: CallerHandlers, limits: Limits): Application {
    const application: Application = new Hono();

    function refuse(refusal: Refusal): Response {
        handlers.recordRefusal(refusal);
        return renderRefusal(refusal);
    }

    application.use(
        "/v1/*",
        bodyLimit({
            maxSize: limits.requestBodyBytes,
            onError: () => refuse(createRefusal("body-too-large", `a body may have ${limits.requestBodyBytes} bytes`)),
        }),
    );
    application.onError(error => refuse(createRefusal("internal", error.message, { ran: "may-have-run" })));
    application.notFound(context =>
        refuse(createRefusal("invalid-request", `no route ${context.req.method} ${context.req.path}`))
    );
    addRequestRoutes(application, handlers, { limits, refuse });
    addOperatorRoutes(application, handlers);
    return application;
}

interface RouteOptions {
    readonly limits: Limits;
    readonly refuse: (refusal: Refusal) => Response;
}

function addRequestRoutes(application: Application, handlers: CallerHandlers, options: RouteOptions): void {
    application.post("/v1/chat/completions", async context => {
        const newWorkRefusal = handlers.newWorkRefusal();
        if (newWorkRefusal !== undefined) {
            return options.refuse(newWorkRefusal);
        }
        const deployment = handlers.deployment();
        if (deployment === undefined) {
            return options.refuse(missingConfiguration());
        }
        const identifier = handlers.createIdentifier();
        const parsed = parseChatRequest(await context.req.text(), { deployment, identifier });
        if (parsed.isErr()) {
            return options.refuse(parsed.error);
        }
        const { slowCallerMilliseconds } = options.limits;
        return await answerChatRequest(parsed.value, handlers, {
            signal: context.req.raw.signal,
            slowCallerMilliseconds,
        });
    });
    application.post("/v1/services/:service/:call", context => answerOrder(context, handlers, options));
}

function missingConfiguration(): Refusal {
    return createRefusal("configuration-missing", "no configuration is in force on this host yet", {
        retryAfterMilliseconds: CONFIGURATION_RETRY_MILLISECONDS,
    });
}

async function answerOrder(
    context: Context<{ Bindings: HttpBindings; }, "/v1/services/:service/:call">,
    handlers: CallerHandlers,
    options: RouteOptions,
): Promise<Response> {
    if (handlers.deployment() === undefined) {
        return options.refuse(missingConfiguration());
    }
    const order = {
        key: context.req.header("idempotency-key"),
        service: context.req.param("service"),
        call: context.req.param("call"),
        body: await context.req.text(),
        contentType: context.req.header("content-type") ?? "application/octet-stream",
    };
    return await new Promise(resolve => {
        const pendingOrder = handlers.order(order, outcome => resolve(renderOrderOutcome(outcome, options.refuse)));
        context.req.raw.signal.addEventListener("abort", () => pendingOrder.cancel(), { once: true });
    });
}

function renderOrderOutcome(outcome: OrderOutcome, refuse: (refusal: Refusal) => Response): Response {
    if (outcome.type === "answered") {
        const { status, contentType, body } = outcome.result;
        return new Response(body, { status, headers: { "content-type": contentType } });
    }
    const { reason, ran, message, retryAfterMilliseconds } = outcome;
    return refuse(createRefusal(reason, message, { ran, retryAfterMilliseconds }));
}

function addOperatorRoutes(application: Application, handlers: CallerHandlers): void {
    application.get("/v1/addresses", context => {
        const caller = { zone: context.req.query("zone"), region: context.req.query("region") };
        return context.json(handlers.addresses(caller));
    });
    application.get("/v1/models", context => {
        const models = handlers.deployment()?.models ?? [];
        return context.json({ object: "list", data: models.map(({ name }) => ({ id: name, object: "model" })) });
    });
    application.get("/v1/health", context => {
        const newWorkRefusal = handlers.newWorkRefusal();
        return context.json(
            { taking_requests: newWorkRefusal === undefined },
            newWorkRefusal === undefined ? 200 : 503,
        );
    });
    application.get("/v1/status", context => context.json(handlers.status()));
    application.post("/v1/drain", context => {
        handlers.drain();
        return context.json({ draining: true }, 202);
    });
}
