import assert from "node:assert/strict";
import { test } from "node:test";
import { HEADERS } from "../../../platform/names.js";
import { type CallerRequest, identifierOf, readRequestFacts, type RequestFacts } from "./requestFacts.js";

const BODY = Buffer.from("{\"prompt\": \"same\"}");

function requestOf(account: string | undefined): CallerRequest {
    const tag = `tag-${account}`;
    return {
        message: { headers: { [HEADERS.promptParts]: "5c1e07a2:800,91bd3f06:410,e4402b7d:250" } },
        target: { host: "site.example", pathAndQuery: "/llm/1" },
        body: BODY,
        requestId: "r-1",
        route: { timeoutMilliseconds: 1_000, services: [{ service: "llm", weight: 1 }] },
        arrivedAtMilliseconds: 0,
        longestUnreadMilliseconds: 0,
        account: account === undefined ? undefined : { account: { name: account }, tag },
    } as unknown as CallerRequest;
}

function factsOf(account: string | undefined): RequestFacts {
    return readRequestFacts(requestOf(account), HEADERS);
}

test("a crash of one account's request is never blamed on another account's, and still on the same one sent again", () => {
    const [mill, loom, none] = ["mill", "loom", undefined].map(account => factsOf(account).attributes);
    assert.equal(new Set([mill, loom, none].map(attributes => attributes?.fingerprint)).size, 3);
    const parts = [mill, loom, none].flatMap(attributes => attributes?.parts ?? []);
    assert.equal(new Set(parts).size, 6);
    assert.deepEqual(factsOf("mill").attributes, mill);
});

test("requests of two accounts with the same identifier do not share a place in a queue", () => {
    const identifiers = ["mill", "loom", undefined].map(account => identifierOf(requestOf(account)));
    assert.equal(new Set(identifiers).size, 3);
    assert.equal(identifiers[2], "r-1");
});

test("a prompt that accounts share is still sent to the engine that has it", () => {
    assert.deepEqual(["mill", "loom"].map(account => factsOf(account).sharedPrompt), ["91bd3f06", "91bd3f06"]);
});
