/**
 * What the steps of one request share.
 *
 * @module
 */
import { ExpectedMemory } from "../../memory/index.js";
import { PermitWait } from "../../rateLimits/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { CallerAnswer } from "./callerAnswer.js";
import { QueuePlace, type QueuePlaceOptions } from "./queuePlace.js";
import { type CallerRequest, identifierOf, readRequestFacts, type RequestFacts } from "./requestFacts.js";
import { RequestLogger } from "./requestLogger.js";
import { RunningAttempts } from "./runningAttempts.js";
import { SendCounts } from "./sendCounts.js";
import { StreamProgress } from "./streamProgress.js";
import { UpstreamSelection } from "./upstreamSelection.js";

/** The parts of one request. */
export interface RequestParts {
    readonly context: ForwardingContext;
    readonly request: CallerRequest;
    readonly facts: RequestFacts;
    readonly logger: RequestLogger;
    readonly answer: CallerAnswer;
    readonly attempts: RunningAttempts;
    /** What the answer takes, and is expected to take while an upstream is called. */
    readonly answerMemory: ExpectedMemory;
    readonly counts: SendCounts;
    readonly permitWait: PermitWait;
    readonly place: QueuePlace;
    readonly progress: StreamProgress;
    readonly selection: UpstreamSelection;
}

function createPermitWait(context: ForwardingContext, request: CallerRequest): PermitWait {
    return new PermitWait({
        limiter: context.rateLimiting.limiter,
        onQueueChanged: () => context.rateLimiting.update(),
        readClock: () => context.readClock(),
        requestId: identifierOf(request),
        priority: request.route.priority,
    });
}

function createAnswer(
    context: ForwardingContext,
    { closesConnection, message, requestId, response }: CallerRequest,
    answerMemory: ExpectedMemory,
): CallerAnswer {
    return new CallerAnswer({
        response,
        requestId,
        requestIdHeader: context.headers.requestId,
        reservation: answerMemory.begin("answers"),
        pages: context.pages,
        method: message.method ?? "GET",
        closesConnection: hasLength => closesConnection({ isWanted: context.closesConnections(), hasLength }),
        readClock: () => context.readClock(),
    });
}

function createPlace(
    { admission, metrics, readClock }: ForwardingContext,
    parts: Omit<QueuePlaceOptions, "admission" | "metrics" | "readClock">,
): QueuePlace {
    return new QueuePlace({ admission, metrics, readClock, ...parts });
}

/**
 * Creates the parts of a request.
 *
 * @param context What all requests of the host share.
 * @param request The request.
 */
export function createRequestParts(context: ForwardingContext, request: CallerRequest): RequestParts {
    const facts = readRequestFacts(request, context.headers);
    const permitWait = createPermitWait(context, request);
    const attempts = new RunningAttempts();
    const answerMemory = new ExpectedMemory(context.memory);
    const progress = new StreamProgress({ request, facts, versions: context.streamVersions });
    const place = createPlace(context, { request, facts, attempts, permitWait, progress });
    const selection = new UpstreamSelection(context, facts, {
        permitRequest: () => permitWait.request,
        allows: upstream => progress.allows(upstream),
        isResumed: () => progress.isBegun,
        neededVersion: () => progress.boundVersion,
        slotsLeftFree: () => place.slotsLeftFree,
    });
    return {
        context,
        request,
        facts,
        logger: new RequestLogger({ context, request, facts }),
        answer: createAnswer(context, request, answerMemory),
        answerMemory,
        attempts,
        counts: new SendCounts(),
        permitWait,
        place,
        progress,
        selection,
    };
}

/** Returns the time until a request's deadline; negative once it has passed. */
export function remainingMilliseconds({ context, facts }: RequestParts): number {
    return facts.deadlineAtMilliseconds - context.readClock();
}

/** Returns the longest time that the caller may have left; negative once its time limit has passed for certain. */
export function longestRemainingMilliseconds({ context, facts }: RequestParts): number {
    return facts.latestDeadlineAtMilliseconds - context.readClock();
}
