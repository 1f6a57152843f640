package org.banyanstair.integration.quickstart;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.testsupport.engine.EngineText;
import org.banyanstair.testsupport.engine.EngineViolation;
import org.banyanstair.testsupport.history.EndpointRun;
import org.banyanstair.testsupport.history.ExpectedAnswer;
import org.banyanstair.testsupport.history.HistoryChecker;
import org.banyanstair.testsupport.history.HistoryEvent;
import org.banyanstair.testsupport.history.Violation;
import org.banyanstair.testsupport.load.CallerResult;

/** Checks the promises by comparing the results of callers with the records of the endpoints. */
final class PromiseCheck {
    private final List<SampleResult> results;
    private final Map<String, SampleRequest.Prompt> prompts = new HashMap<>();
    private final List<BrokenPromise> broken = new ArrayList<>();

    PromiseCheck(List<SampleResult> results) {
        this.results = results;
        results.forEach(result -> result.request()
                .prompt()
                .ifPresent(prompt -> prompts.put(result.request().key(), prompt)));
    }

    /**
     * Checks all promises.
     *
     * @return the violations found, empty if all promises hold
     */
    List<BrokenPromise> check(List<HistoryEvent> events, List<EndpointRun> runs, List<EngineViolation> violations) {
        new HistoryChecker(events, runs, List.of(), this::expected)
                .check()
                .forEach(violation -> addBroken(promise(violation), violation.toString()));
        violations.forEach(violation -> addBroken(Promise.NO_UNLOAD_IN_USE, violation.toString()));
        checkAnswered();
        checkRefused();
        checkSameAnswers();
        return List.copyOf(broken);
    }

    private void addBroken(Promise promise, String detail) {
        broken.add(new BrokenPromise(promise, detail));
    }

    private Optional<ExpectedAnswer> expected(HistoryEvent.Answered answered) {
        return Optional.ofNullable(prompts.get(answered.context().key()))
                .flatMap(prompt -> answered.adapter().map(adapter -> expected(adapter, prompt)));
    }

    private static ExpectedAnswer expected(AdapterVersion adapter, SampleRequest.Prompt prompt) {
        List<String> tokens = EngineText.tokens(adapter.engineName(), prompt.text(), prompt.maximumTokens());
        return new ExpectedAnswer(tokens.size(), EngineText.digest(String.join("", tokens)));
    }

    private static Promise promise(Violation violation) {
        if (violation instanceof Violation.WrongText) {
            return Promise.OWN_ANSWER;
        }
        if (violation instanceof Violation.RanAlthoughNotRun) {
            return Promise.NOT_RUN;
        }
        if (violation instanceof Violation.RanMoreThanOnce) {
            return Promise.AT_MOST_ONCE;
        }
        if (violation instanceof Violation.AcknowledgedButNeverRan) {
            return Promise.NOTHING_LOST;
        }
        return violation instanceof Violation.UnloadedInUse ? Promise.NO_UNLOAD_IN_USE : Promise.NAMED_VERSION;
    }

    /**
     * Checks that requests were answered. An order may end with an unknown outcome, because its writer may have been
     * killed while it ran.
     */
    private void checkAnswered() {
        results.stream()
                .filter(result -> result.request().refusal().isEmpty() && !result.isAnswered())
                .filter(result ->
                        result.request().kind().isRepeatable() || !(result.last() instanceof CallerResult.Unknown))
                .forEach(result ->
                        addBroken(Promise.NOTHING_LOST, result.request().key() + " ended with " + result.attempts()));
    }

    private void checkRefused() {
        for (SampleResult result : results) {
            result.request()
                    .refusal()
                    .filter(code -> !(result.last() instanceof CallerResult.NotRun notRun
                            && notRun.code().equals(code)))
                    .ifPresent(code -> addBroken(
                            Promise.BAD_REFUSED, "expected " + code + ", but the outcome was " + result.last()));
        }
    }

    private void checkSameAnswers() {
        Map<String, Set<String>> answers = new HashMap<>();
        for (SampleResult result : results) {
            if (result.last() instanceof CallerResult.ServiceAnswered answered
                    && !result.request().kind().isRepeatable()) {
                answers.computeIfAbsent(result.request().key(), key -> new HashSet<>())
                        .add(answered.status() + " " + new String(answered.body(), StandardCharsets.UTF_8));
            }
        }
        answers.forEach((key, different) -> {
            if (different.size() > 1) {
                addBroken(Promise.SAME_ANSWER, key + " was answered by " + different);
            }
        });
    }
}
