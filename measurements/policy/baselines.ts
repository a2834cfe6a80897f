/**
 * Baseline routers to compare the policy with: each forwards requests immediately and leaves queueing to the engines.
 *
 * @module
 */
import { type Decision, type RandomSource } from "../../src/decision/index.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type EngineDigest } from "../../src/generated/peers.js";
import { type ModelRequest, type RequestsEffect, type RequestsMessage } from "../../src/requests/index.js";

const MAXIMUM_ATTEMPTS = 3;

/** An engine that holds the model, with the load that it last reported. */
export interface BaselineCandidate {
    readonly engine: string;
    readonly reportedLoad: number;
}

/** Chooses one of the candidates. */
export type ChooseBaseline = (candidates: readonly BaselineCandidate[], model: string) => BaselineCandidate | undefined;

/** Chooses a random engine. */
export function createRandomChoice(random: RandomSource): ChooseBaseline {
    return candidates => candidates[Math.floor(random() * candidates.length)];
}

/** Chooses engines in round-robin order, for each model separately. */
export function createRoundRobinChoice(random: RandomSource): ChooseBaseline {
    const nextIndexes = new Map<string, number>();
    return (candidates, model) => {
        const index = nextIndexes.get(model) ?? Math.floor(random() * candidates.length);
        nextIndexes.set(model, index + 1);
        return candidates[index % candidates.length];
    };
}

/** Chooses the engine with the least reported load; ties are broken randomly. */
export function createLeastReportedChoice(random: RandomSource): ChooseBaseline {
    return candidates => {
        const leastLoad = Math.min(...candidates.map(candidate => candidate.reportedLoad));
        const equal = candidates.filter(candidate => candidate.reportedLoad === leastLoad);
        return equal[Math.floor(random() * equal.length)];
    };
}

/**
 * Creates a router without a queue, admission control or accounting for requests that it has sent.
 *
 * @param choose Chooses the engine.
 * @returns The router, with the interface of a requests decision.
 */
export function createBaselineDecision(choose: ChooseBaseline): Decision<RequestsMessage, RequestsEffect> {
    const requests = new Map<string, { readonly request: ModelRequest; attempts: number; }>();
    const reports = new Map<string, EngineDigest>();
    const copies = new Map<string, readonly string[]>();
    let deployment: Deployment | undefined;

    const listCandidates = (model: string): BaselineCandidate[] => {
        const engines = deployment?.pools.flatMap(pool => pool.engines) ?? [];
        const available = engines.filter(({ name }) =>
            copies.get(name)?.includes(model) === true && reports.get(name)?.leaving !== true
        );
        return available.map(({ name }) => {
            const report = reports.get(name);
            return { engine: name, reportedLoad: (report?.running ?? 0) + (report?.waiting ?? 0) };
        });
    };

    const send = (identifier: string, resumeAtToken: number): RequestsEffect[] => {
        const tracked = requests.get(identifier);
        const chosen = tracked === undefined ? undefined : choose(
            listCandidates(tracked.request.model),
            tracked.request.model,
        );
        if (tracked === undefined || chosen === undefined || tracked.attempts >= MAXIMUM_ATTEMPTS) {
            requests.delete(identifier);
            const ran = tracked?.attempts === 0 ? "not-run" : "may-have-run";
            return [{ type: "refuse", identifier, reason: "upstream-failed", ran, message: "No engine answered." }];
        }
        tracked.attempts += 1;
        const { attempts: attempt, request } = tracked;
        return [{ type: "dispatch", identifier, attempt, engine: chosen.engine, resumeAtToken, class: request.class }];
    };

    const handle = (message: RequestsMessage): readonly RequestsEffect[] => {
        switch (message.type) {
            case "deployment":
                deployment = message.deployment;
                return [];
            case "residency":
                copies.set(message.digest.engine, message.digest.models.map(model => model.name));
                return [];
            case "engine-observed":
                reports.set(message.digest.engine, message.digest);
                return [];
            case "submit":
                requests.set(message.request.identifier, { request: message.request, attempts: 0 });
                return send(message.request.identifier, 0);
            case "attempt-finished":
                requests.delete(message.identifier);
                return [];
            case "attempt-failed":
                return send(message.identifier, message.deliveredTokens);
            default:
                return [];
        }
    };
    return { handle };
}
